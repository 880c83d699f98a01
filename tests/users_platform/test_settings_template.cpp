#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <fstream>
#include <map>
#include <sstream>

using namespace clementine;
using namespace clementine::proxy;

namespace {

/// Fills the placeholders of deploy/proxy.ini.
/// @param Bound the text of every bound.
std::string filledTemplate(const std::string &Bound) {
  const std::map<std::string, std::string> Values = {
      {"node_name", "sidecar-1"},
      {"zone", "kolkata"},
      {"service", "huvo11a"},
      {"application_address", "10.1.0.8:8301"},
      {"listen_addresses.outbound", "10.1.0.8:8304"},
      {"listen_addresses.control", "10.1.0.8:8306"},
      {"listen_addresses.ready", "10.1.0.8:8302"},
      {"ip_address", "10.1.0.8"},
      {"internal_port_range.0", "7620"},
      {"platform.address", "10.200.1.7:8309"}};
  std::ifstream Stream(std::string(CLEMENTINE_SOURCE_DIR) +
                       "/deploy/proxy.ini");
  std::ostringstream Read;
  Read << Stream.rdbuf();
  std::string Text = Read.str();
  for (std::size_t At = Text.find("{{"); At != std::string::npos;
       At = Text.find("{{", At)) {
    const std::size_t End = Text.find("}}", At);
    const std::string Name = Text.substr(At + 2, End - At - 2);
    Text.replace(At, End + 2 - At,
                 Name.starts_with("bounds.") ? Bound : Values.at(Name));
  }
  return Text;
}

} // namespace

// No process started with 6.5 as grace_period_s: review/14.
TEST_CASE("a bound in any form of a number lets the node start") {
  for (const std::string Bound :
       {"6", "6.5", "6.0", "0.25", "10.125", "0.30000000000000004", "600"}) {
    CAPTURE(Bound);
    const auto Settings = readProxySettings(filledTemplate(Bound), "boot");
    REQUIRE(Settings);
    CHECK(Settings.value().StopGrace > duration(0));
    CHECK(Settings.value().RetryWindow == Settings.value().StopGrace);
    CHECK(Settings.value().RetryRatio.Value > 0);
  }
}

TEST_CASE("a bound that is no number stops the start with an error that names "
          "its key") {
  for (const std::string Bound : {"", "true", "-1", "6,5", "[6]"}) {
    CAPTURE(Bound);
    const auto Settings = readProxySettings(filledTemplate(Bound), "boot");
    REQUIRE(Settings.has_error());
    CHECK(Settings.error().Errors.front().Key == "stop_grace");
  }
}
