#include "stand_in_users_platform/local_mesh.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <future>
#include <thread>
#include <vector>

using namespace clementine::stand_in;
using namespace std::chrono_literals;

namespace {

constexpr long Ok = 200;
constexpr const char *Target = "archive-east";

/// Clients that call a service without a pause, one at each machine whose node
/// is not restarted.
class steady_clients {
public:
  explicit steady_clients(local_mesh &Mesh) {
    for (const std::string &Name : Mesh.machines()) {
      if (Name == Target)
        continue;
      Threads.emplace_back([this, &Mesh, Name] {
        while (!Stopping)
          ++(Mesh.call(Name, "/archive/1").Status == Ok ? Served : Failed);
      });
    }
  }
  ~steady_clients() {
    Stopping = true;
    for (std::thread &Each : Threads)
      Each.join();
  }

  steady_clients(const steady_clients &) = delete;
  steady_clients &operator=(const steady_clients &) = delete;

  std::atomic<int> Served{0};
  std::atomic<int> Failed{0};

private:
  std::atomic<bool> Stopping{false};
  std::vector<std::thread> Threads;
};

/// @returns the most runs of an instance in any 4 s of the next @p Time.
int mostRunsInWindow(const local_mesh &Mesh, const std::string &Instance,
                     std::chrono::milliseconds Time) {
  constexpr std::chrono::milliseconds Step{50};
  constexpr std::size_t StepsPerWindow = 4000 / 50;
  std::deque<int> Counts;
  int Most = 0;
  for (auto Passed = 0ms; Passed < Time; Passed += Step) {
    Counts.push_back(Mesh.Runs.by(Instance));
    if (Counts.size() > StepsPerWindow + 1)
      Counts.pop_front();
    Most = std::max(Most, Counts.back() - Counts.front());
    std::this_thread::sleep_for(Step);
  }
  return Most;
}

} // namespace

TEST_CASE("an instance that names a limit gets no more than that from all "
          "nodes together, also after its node has restarted") {
  constexpr double PerSecond = 10;
  // The rule's own bound: one and a half times the limit in 4 s, and 5.
  constexpr int Allowed = 65;
  local_mesh Mesh;
  REQUIRE(Mesh.awaitReady());
  const std::string Id = Mesh.instance(Target).id();
  const steady_clients Clients(Mesh);
  std::this_thread::sleep_for(500ms);
  CHECK(Mesh.Runs.by(Id) > Allowed);
  Mesh.instance(Target).nameLimit(PerSecond);
  std::this_thread::sleep_for(1s);
  auto Counted = std::async(std::launch::async,
                            [&] { return mostRunsInWindow(Mesh, Id, 7s); });
  std::this_thread::sleep_for(2s);
  Mesh.node(Target).kill();
  Mesh.startNode(Target);
  const int Most = Counted.get();
  CHECK(Most <= Allowed);
  CHECK(Most > 0);
  Mesh.instance(Target).nameLimit(std::nullopt);
  CHECK(mostRunsInWindow(Mesh, Id, 4s) > Allowed);
  CHECK(Clients.Served > 100 * Clients.Failed);
}

TEST_CASE("an instance that says in its answers that it is leaving gets no "
          "request 2 s later, also after its node has restarted") {
  local_mesh Mesh;
  REQUIRE(Mesh.awaitReady());
  const std::string Id = Mesh.instance(Target).id();
  const steady_clients Clients(Mesh);
  std::this_thread::sleep_for(300ms);
  Mesh.instance(Target).sayLeaving();
  std::this_thread::sleep_for(2s);
  const int Before = Mesh.Runs.by(Id);
  CHECK(Before > 0);
  Mesh.node(Target).kill();
  Mesh.startNode(Target);
  std::this_thread::sleep_for(3s);
  CHECK(Mesh.Runs.by(Id) == Before);
  CHECK(Clients.Served > 100 * Clients.Failed);
}
