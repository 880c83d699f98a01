#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "clementine_load/description/deployment.h"
#include "clementine_load/description/scenario.h"
#include "clementine_settings/clementine_settings.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

using namespace clementine;
using namespace clementine::load;
using namespace std::chrono_literals;

namespace {

using fault = description_error::fault;

const std::string Deployment = R"([deployment]
name = small
data_centres = north, south
base_port = 20000
bundle = small.bundle
[service_1]
name = front
instances = 3
slots = 10
connections = 50
service_time = 20ms
spread = 0.25
calls = book:back/hold, book:back/tell
not_repeatable = book
[service_2]
name = back
instances = 2
slots = 5
connections = 20
service_time = 5ms
)";

const std::string Scenario = R"([scenario]
name = surge
seed = 9
duration = 10s
resend = back_off
most_sends = 3
[load_1]
caller = desk
operation = front/book
importance = critical
rate = 20
[surge_1]
begin = 3s
end = 6s
factor = 3
[fault_1]
kind = kill
at = 4s
target = back-1
)";

fault faultOf(const std::string &Text) {
  const auto Read = readDeployment(Text);
  REQUIRE(Read.has_error());
  return Read.error().Fault;
}

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  return Text.replace(Text.find(From), From.size(), To);
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace

TEST_CASE("a deployment gives each instance its data centre and address") {
  const auto Read = readDeployment(Deployment).value();
  const auto Instances = Read.instances();
  REQUIRE(Instances.size() == 5);
  std::set<std::string> Hosts;
  for (const auto &Instance : Instances)
    Hosts.insert(Instance.Host);
  CHECK(Hosts.size() == 5);
  CHECK(Instances[1].Name == "front-2");
  CHECK(Instances[1].Host == "127.0.2.1");
  CHECK(Read.find("front")->Calls.at("book").size() == 2);
  CHECK(Read.platformEndpoint().text() == "127.0.0.1:20020");
}

TEST_CASE("an error in a description is reported with its kind or key") {
  CHECK(faultOf("") == fault::MissingKey);
  CHECK(faultOf("x") == fault::Malformed);
  CHECK(faultOf(Deployment + "[other]\n") == fault::UnknownSection);
  CHECK(faultOf(Deployment + "colour = red\n") == fault::UnknownKey);
  CHECK(faultOf(replaced(Deployment, "20ms", "20")) == fault::BadValue);
  CHECK(faultOf(replaced(Deployment, "book:back/hold", "book:back")) ==
        fault::BadValue);
  CHECK(faultOf(replaced(Deployment, "back/tell", "lost/tell")) ==
        fault::Inconsistent);
  CHECK(faultOf(replaced(Deployment, "20000", "80")) == fault::Inconsistent);
  CHECK(readScenario(replaced(Scenario, "kill", "burn")).error().Key == "kind");
  CHECK(readScenario(replaced(Scenario, "critical", "top")).has_error());
  CHECK(readScenario(replaced(Scenario, "rate = 20\n", "")).error().Fault ==
        fault::MissingKey);
}

TEST_CASE("a scenario multiplies its rates during surges") {
  const auto Read = readScenario(Scenario).value();
  CHECK(Read.factorAt(2s) == 1);
  CHECK(Read.factorAt(3s) == 3);
  CHECK(Read.factorAt(6s) == 1);
  CHECK(Read.Faults.at(0).Kind == fault_kind::Kill);
  CHECK(Read.lastSurge()->End == 6s);
}

TEST_CASE("the settings generated for a node are valid") {
  const auto Read = readDeployment(Deployment).value();
  for (const auto &Instance : Read.instances()) {
    const std::string Text =
        nodeSettings(Read, Instance,
                     {"a:AQIDBAUGBwgJCgsMDQ4PEBESExQVFhcYGRobHB0eHyA=",
                      "b:4a/WhdASm0hUXRCW+cL3XW1IiByuqTCXLYxv68sZjcQ="});
    const auto Settings = readSettings(Text, Instance.Name);
    REQUIRE(Settings.has_value());
    CHECK(Settings.value().Name == Instance.Name);
  }
}

TEST_CASE("every deployment and scenario under examples is valid") {
  const std::string Folder =
      std::string(CLEMENTINE_SOURCE_DIR) + "/examples/deployments/";
  for (const std::string Name : {"takamori", "association"}) {
    const auto Read = readDeployment(readFile(Folder + Name + ".ini"));
    REQUIRE(Read.has_value());
    for (const auto &Entry : std::filesystem::directory_iterator(Folder)) {
      const std::string File = Entry.path().stem();
      if (!File.starts_with(Name + "-") || File == Name + "-bundle")
        continue;
      const auto Load = readScenario(readFile(Entry.path()));
      REQUIRE(Load.has_value());
      CHECK(Load.value().Name == File);
      for (const load_stream &Stream : Load.value().Streams)
        CHECK(Read.value().find(Stream.Target.Service) != nullptr);
    }
  }
}
