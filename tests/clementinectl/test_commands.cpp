#include <doctest/doctest.h>

#include "clementine_bundle/clementine_bundle.h"
#include "command_runner.h"

#include <nlohmann/json.hpp>

using namespace clementine;
using namespace clementine::samples;
using clementine::ctl::exit_code;

namespace {

std::string textWithRate(const std::string &Rate) {
  return "[bundle]\nformat = 1\nname = sample\n"
         "[service hall-desk]\n"
         "[operation hall-desk reserve]\nrepeatable = no\n"
         "[caller temple-front]\nowner = liaison\nrate = " +
         Rate +
         "\n"
         "[caller night-phone]\nowner = night-desk\nimportance = critical\n";
}

/// A runner with an owner key and an accepted version 1.
struct accepted_runner : command_runner {
  accepted_runner() {
    write("/first.ini", textWithRate("100/s"));
    write("/second.ini", textWithRate("50/s"));
    REQUIRE(run("keygen --owner night-desk --directory @") ==
            exit_code::Success);
    REQUIRE(run("bundle sign --key @/night-desk.key --platform x "
                "--reason begin @/first.ini") == exit_code::Success);
    REQUIRE(run("bundle accept --platform x --signed @/first.ini.signed "
                "--trusted @/night-desk.pub") == exit_code::Success);
  }
};

} // namespace

TEST_CASE(
    "keygen writes a private and a public key and never overwrites them") {
  command_runner Runner;
  CHECK(Runner.run("keygen --owner night-desk --directory @") ==
        exit_code::Success);
  const auto Mode =
      std::filesystem::status(Runner.path("/night-desk.key")).permissions();
  CHECK(Mode == (std::filesystem::perms::owner_read |
                 std::filesystem::perms::owner_write));
  const auto Key = owner_key::parse(Runner.read("/night-desk.key")).value();
  CHECK(Key.publicText() == Runner.read("/night-desk.pub"));
  CHECK(Runner.run("keygen --owner night-desk --directory @") ==
        exit_code::BadFile);
  CHECK(Runner.run("keygen --owner a/b") == exit_code::Usage);
}

TEST_CASE(
    "bundle check prints every error with its line, as text and as JSON") {
  command_runner Runner;
  Runner.write("/bad.ini", textWithRate("fast") + "colour = red\n");
  CHECK(Runner.run("bundle check @/bad.ini") == exit_code::Negative);
  CHECK(Runner.Err.str().find("bad.ini: line 9: [caller temple-front] rate = "
                              "'fast': bad value") != std::string::npos);
  CHECK(Runner.Err.str().find("line 13") != std::string::npos);
  CHECK(Runner.run("bundle check --json @/bad.ini") == exit_code::Negative);
  const auto Json = nlohmann::json::parse(Runner.Out.str());
  CHECK(Json["valid"] == false);
  CHECK(Json["errors"][0]["line"] == 9);
  Runner.write("/good.ini", textWithRate("1/s"));
  CHECK(Runner.run("bundle check @/good.ini") == exit_code::Success);
  CHECK(Runner.run("bundle check @/none.ini") == exit_code::BadFile);
}

TEST_CASE(
    "bundle sign and accept store a bundle in the platform exactly once") {
  accepted_runner Runner;
  CHECK(Runner.Out.str() == "version 1 is accepted\n");
  CHECK(Runner.run("bundle accept --platform x --signed @/first.ini.signed") ==
        exit_code::Success);
  CHECK(Runner.Out.str() == "version 1 had been accepted already\n");
  const auto Owners =
      trusted_owners::parse(Runner.read("/night-desk.pub")).value();
  const auto Newest = bundle_reader(Runner.Platform).newest(Owners).value();
  CHECK(Newest->Content == bundle::parse(textWithRate("100/s")).value());
  CHECK(Newest->Head.Reason == "begin");
}

TEST_CASE(
    "bundle accept refuses a conflicting version, an untrusted owner and a "
    "damaged file") {
  accepted_runner Runner;
  CHECK(Runner.run("bundle sign --key @/night-desk.key --number 1 "
                   "@/second.ini") == exit_code::Success);
  CHECK(Runner.run("bundle accept -p x --signed @/second.ini.signed") ==
        exit_code::Refused);
  CHECK(Runner.Err.str().find("version 1 by night-desk (begin)") !=
        std::string::npos);
  CHECK(Runner.run("keygen --owner stranger --directory @") ==
        exit_code::Success);
  CHECK(Runner.run("bundle accept -p x --signed @/first.ini.signed "
                   "--trusted @/stranger.pub") == exit_code::Refused);
  Runner.write("/first.ini.signed", "{}");
  CHECK(Runner.run("bundle accept -p x --signed @/first.ini.signed") ==
        exit_code::BadFile);
}

TEST_CASE("invalid command lines return the usage exit code and print a hint") {
  command_runner Runner;
  CHECK(Runner.run("") == exit_code::Usage);
  CHECK(Runner.run("bundle") == exit_code::Usage);
  CHECK(Runner.run("bundle check --colour red") == exit_code::Usage);
  CHECK(Runner.Err.str().find("next:") != std::string::npos);
  CHECK(Runner.run("--version") == exit_code::Success);
  CHECK(Runner.run("--help") == exit_code::Success);
  for (const ctl::command &Command : ctl::commands())
    CHECK(Runner.Out.str().find(Command.Name) != std::string::npos);
}

TEST_CASE(
    "bundle diff shows parts changed, added and removed against the accepted "
    "bundle") {
  accepted_runner Runner;
  CHECK(Runner.run("bundle diff -p x @/first.ini") == exit_code::Success);
  CHECK(Runner.Out.str().empty());
  CHECK(Runner.run("bundle diff -p x @/second.ini") == exit_code::Negative);
  CHECK(Runner.Out.str() ==
        "  [caller temple-front]\n- rate = 100/s\n+ rate = 50/s\n");
  Runner.write("/third.ini",
               textWithRate("100/s") + "[caller new]\nowner = web\n");
  CHECK(Runner.run("bundle diff --file @/first.ini @/third.ini") ==
        exit_code::Negative);
  CHECK(Runner.Out.str() == "+ [caller new]\n+ owner = web\n");
  CHECK(Runner.run("bundle diff --json --file @/third.ini @/first.ini") ==
        exit_code::Negative);
  const auto Json = nlohmann::json::parse(Runner.Out.str());
  CHECK(Json["changes"][0]["after"] == "");
}

TEST_CASE(
    "bundle history lists versions and prints the text of one for a rollback") {
  accepted_runner Runner;
  REQUIRE(Runner.run("bundle sign -k @/night-desk.key -p x @/second.ini") ==
          exit_code::Success);
  REQUIRE(Runner.run("bundle accept -p x -s @/second.ini.signed") ==
          exit_code::Success);
  CHECK(Runner.run("bundle history -p x") == exit_code::Success);
  CHECK(Runner.Out.str().find("2026-11-30") != std::string::npos);
  CHECK(Runner.run("bundle history -p x --text 1") == exit_code::Success);
  CHECK(bundle::parse(Runner.Out.str()).value() ==
        bundle::parse(textWithRate("100/s")).value());
  CHECK(Runner.run("bundle history -p x --text 9") == exit_code::NotFound);
  CHECK(Runner.run("bundle history -p x --json --last 1") ==
        exit_code::Success);
  CHECK(nlohmann::json::parse(Runner.Out.str())["history"][0]["version"] == 2);
}

TEST_CASE("bundle status shows nodes without the bundle and nodes without an "
          "answer") {
  accepted_runner Runner;
  Runner.NodeAnswers["a:1/v1/bundle"] =
      R"({"node": {"name": "n1"}, "bundle": {"version": 1}})";
  Runner.NodeAnswers["b:1/v1/bundle"] =
      R"({"node": {"name": "n2"}, "bundle": null})";
  CHECK(Runner.run("bundle status -p x -n a:1 -n b:1 -n c:1") ==
        exit_code::Success);
  CHECK(Runner.Out.str().find("accepted: version 1") != std::string::npos);
  CHECK(Runner.Out.str().find("in force") != std::string::npos);
  CHECK(Runner.Out.str().find("has no bundle") != std::string::npos);
  CHECK(Runner.Err.str().find("node c:1 gave no answer") != std::string::npos);
  CHECK(Runner.run("bundle status -p x -n c:1") == exit_code::Unavailable);
}

TEST_CASE("callers sums usage over nodes and filters by owner") {
  accepted_runner Runner;
  const std::string Answer =
      R"({"callers": [{"name": "temple-front", "owner": "liaison",
          "now": {"rate_per_second": 1.5, "cost_per_second": 4}}]})";
  Runner.NodeAnswers["a:1/v1/callers"] = Answer;
  Runner.NodeAnswers["b:1/v1/callers"] = Answer;
  CHECK(Runner.run("callers -p x -n a:1 -n b:1 --owner liaison --json") ==
        exit_code::Success);
  const auto Json = nlohmann::json::parse(Runner.Out.str());
  REQUIRE(Json["callers"].size() == 1);
  CHECK(Json["callers"][0]["now"]["rate_per_second"] == 3);
  CHECK(Json["callers"][0]["limits"]["rate_per_second"] == 100);
  CHECK(Runner.run("callers -n a:1") == exit_code::Success);
  CHECK(Runner.Out.str().find("liaison") != std::string::npos);
  CHECK(Runner.run("callers") == exit_code::Usage);
  Runner.NodeAnswers["a:1/v1/callers"] = "<html>";
  CHECK(Runner.run("callers -n a:1") == exit_code::Unavailable);
}

TEST_CASE("explain shows the section that each value comes from") {
  accepted_runner Runner;
  CHECK(Runner.run("explain -p x --json night-phone hall-desk reserve") ==
        exit_code::Success);
  const auto Json = nlohmann::json::parse(Runner.Out.str());
  CHECK(Json["importance"]["value"] == "critical");
  CHECK(Json["importance"]["decided_by"] == "caller night-phone");
  CHECK(Json["repeatable"]["decided_by"] == "operation hall-desk reserve");
  CHECK(Runner.run("explain -p x nobody hall-desk reserve") ==
        exit_code::NotFound);
  CHECK(Runner.run("explain -p x night-phone") == exit_code::Usage);
}

TEST_CASE(
    "nodes and upstreams print the lists of each node, also malformed ones") {
  accepted_runner Runner;
  Runner.NodeAnswers["a:1/v1/nodes"] =
      R"({"node": {"name": "n1"}, "nodes": [{"name": "n2", "state": "alive"}]})";
  Runner.NodeAnswers["a:1/v1/upstreams"] =
      R"({"upstreams": [7, {"limit": []}]})";
  CHECK(Runner.run("nodes -n a:1") == exit_code::Success);
  CHECK(Runner.Out.str().find("alive") != std::string::npos);
  CHECK(Runner.run("upstreams -n a:1") == exit_code::Success);
  CHECK(Runner.run("upstreams -n a:1 --json") == exit_code::Success);
  CHECK(Runner.run("nodes") == exit_code::Usage);
}

TEST_CASE("the example bundles are valid and mark critical and non-repeatable "
          "operations") {
  const auto Read = [](const std::string &Name) {
    std::stringstream Text;
    Text << std::ifstream(CLEMENTINE_SOURCE_DIR "/examples/bundles/" + Name)
                .rdbuf();
    return bundle::parse(Text.str()).value();
  };
  const bundle Takamori = Read("takamori.ini");
  const bundle Association = Read("association.ini");
  const auto Slot =
      Takamori.decide("night-desk", "crematory-desk", "reserve").value();
  CHECK(Slot.Importance == importance::Critical);
  CHECK_FALSE(Slot.Repeatable);
  CHECK_FALSE(Takamori.decide("florist-gateway", "wake-kitchen", "order")
                  .value()
                  .Repeatable);
  CHECK(Association.decide("crew-app", "catalogue", "look-up-cable")
            .value()
            .Importance == importance::Critical);
  CHECK_FALSE(Association.decide("member-portal", "inspections", "book")
                  .value()
                  .Repeatable);
  CHECK_FALSE(Association.decide("member-portal", "warranties", "register")
                  .value()
                  .Repeatable);
}
