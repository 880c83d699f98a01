#include "stand_in_users_platform/local_mesh.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace clementine::stand_in;
using namespace std::chrono_literals;

namespace {

constexpr long Ok = 200;
/// How long after a fault of its connections a node may fail to serve or use an
/// old configuration: the settle_window_ms of the deployments.
constexpr std::chrono::milliseconds SettleWindow{3000};
/// How often each node calls a service so that it has a link to every instance.
constexpr int CallsForAllLinks = 20;

} // namespace

TEST_CASE("after every connection between nodes has gone silent, all nodes "
          "serve again within the settle window, by the newest configuration") {
  local_mesh::settings Settings;
  Settings.HasProxies = true;
  local_mesh Mesh(Settings);
  REQUIRE(Mesh.awaitReady());
  for (int Round = 0; Round < CallsForAllLinks; ++Round)
    for (const std::string &Name : Mesh.machines())
      CHECK(Mesh.call(Name, "/book/1", "POST").Status == Ok);
  const auto Deadline = std::chrono::steady_clock::now() + SettleWindow;
  for (const std::string &Name : Mesh.machines())
    Mesh.proxy(Name, local_mesh::fault_point::Links).blackholeOpen();
  std::this_thread::sleep_for(100ms);
  Mesh.configure(2, {{"/added/", "archive"}});
  // They may run once only, so that none can be tried at another gate before
  // the silence of its link is noticed.
  std::vector<std::thread> Callers;
  std::atomic<int> Answered{0};
  for (const std::string &Name : Mesh.machines())
    Callers.emplace_back([&Mesh, &Answered, Name] {
      if (Mesh.call(Name, "/book/1", "POST").Status == Ok)
        ++Answered;
    });
  std::this_thread::sleep_until(Deadline);
  CHECK(Answered == static_cast<int>(Mesh.machines().size()));
  for (const std::string &Name : Mesh.machines()) {
    CAPTURE(Name);
    CHECK(Mesh.call(Name, "/book/1", "POST").Status == Ok);
    CHECK(Mesh.call(Name, "/added/1").Status == Ok);
  }
  for (std::thread &Each : Callers)
    Each.join();
  CHECK(Mesh.Runs.repeated("POST").empty());
}
