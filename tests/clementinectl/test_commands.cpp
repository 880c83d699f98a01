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

/// A runner with a key and an accepted first version.
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

TEST_CASE("keygen writes a secret key once, and a public one") {
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

TEST_CASE("check tells every error with its line, for people and programs") {
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

TEST_CASE("sign and accept bring a bundle into the platform, once") {
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

TEST_CASE("accept refuses a lost race, a stranger and a damaged file") {
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

TEST_CASE("wrong command lines end with the usage code and a hint") {
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
