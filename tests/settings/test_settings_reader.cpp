#include <doctest/doctest.h>

#include "clementine_settings/clementine_settings.h"

using namespace clementine;
using namespace std::chrono_literals;

namespace {

const std::string Minimal = R"([node]
name = hall-desk-1
data_centre = fukuoka
http_listen = 127.0.1.1:8000
peer_listen = 127.0.1.1:8001
gossip_listen = 127.0.1.1:8002
admin_listen = 127.0.1.1:8003
[upstream]
service = hall-desk
)";

} // namespace

TEST_CASE("the smallest settings give every default") {
  const auto Settings = readSettings(Minimal, "node.ini");
  REQUIRE(Settings);
  CHECK(Settings.value().Name == "hall-desk-1");
  CHECK(Settings.value().ProbeInterval == 1s);
}
