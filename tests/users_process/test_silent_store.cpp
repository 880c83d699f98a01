#include "stand_in_users_platform/local_mesh.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

using namespace clementine::stand_in;
using namespace std::chrono_literals;

namespace {

constexpr long Ok = 200;
/// How long after a fault of its connections a node may use an old
/// configuration: the settle_window_ms of the deployments.
constexpr std::chrono::milliseconds SettleWindow{3000};

void silenceStoreConnections(local_mesh &Mesh) {
  for (const std::string &Name : Mesh.machines())
    Mesh.proxy(Name, local_mesh::fault_point::Store).blackholeOpen();
}

} // namespace

TEST_CASE("a configuration that is confirmed while every connection to the "
          "store is silent is in force at all nodes within the settle window") {
  local_mesh::settings Settings;
  Settings.HasProxies = true;
  local_mesh Mesh(Settings);
  REQUIRE(Mesh.awaitReady());
  const auto Deadline = std::chrono::steady_clock::now() + SettleWindow;
  silenceStoreConnections(Mesh);
  std::this_thread::sleep_for(100ms);
  Mesh.configure(2, {{"/added/", "archive"}});
  std::this_thread::sleep_until(Deadline);
  for (const std::string &Name : Mesh.machines()) {
    CAPTURE(Name);
    CHECK(Mesh.call(Name, "/added/1").Status == Ok);
  }
}
