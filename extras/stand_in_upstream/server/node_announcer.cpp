#include "stand_in_upstream/server/node_announcer.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <thread>
#include <utility>

namespace clementine::stand_in {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds NodeTimeout(1000);
constexpr milliseconds StopCheckInterval(20);
constexpr int DrainAttempts = 5;
constexpr long StatusOk = 200;
constexpr long FirstNotOk = 300;

bool isOk(const std::optional<http_client::answer> &Answer) {
  return Answer && Answer->Status >= StatusOk && Answer->Status < FirstNotOk;
}

const std::vector<std::string> JsonHeaders = {"Content-Type: application/json"};

} // namespace

node_announcer::node_announcer(const upstream_settings &Settings,
                               std::function<bool()> IsCold)
    : Settings(Settings), IsCold(std::move(IsCold)),
      Announcements("announcer",
                    [this](const std::atomic<bool> &Stopping) {
                      announceUntil(Stopping);
                    },
                    {}, {}) {
  if (!Settings.Node.empty())
    Announcements.start();
}

node_announcer::~node_announcer() { Announcements.stop(); }

bool node_announcer::drain() {
  Announcements.stop();
  if (Settings.Node.empty())
    return true;
  for (int Attempt = 0; Attempt < DrainAttempts; ++Attempt)
    if (isOk(Client.post(Settings.Node + "/upstream/drain", JsonHeaders, "{}",
                         NodeTimeout)))
      return true;
  std::cerr << "upstream: the node did not acknowledge the drain\n";
  return false;
}

void node_announcer::announceUntil(const std::atomic<bool> &Stopping) {
  while (!Stopping) {
    announce();
    const instant Next =
        std::chrono::steady_clock::now() + Settings.AnnounceInterval;
    while (!Stopping && std::chrono::steady_clock::now() < Next)
      std::this_thread::sleep_for(StopCheckInterval);
  }
}

void node_announcer::announce() {
  const nlohmann::json Body = {{"service", Settings.Service},
                               {"host", Settings.Listen.Host},
                               {"port", Settings.Listen.Port},
                               {"cold", IsCold()}};
  // A failure, for instance if the node is not running yet, is ignored: the
  // announcement is repeated at the next interval.
  (void)Client.post(Settings.Node + "/upstream/announce", JsonHeaders,
                    Body.dump(), NodeTimeout);
}

} // namespace clementine::stand_in
