#include "clementine_node/platform/bundle_watch.h"

#include <algorithm>
#include <utility>

namespace clementine {

namespace {

/// How long a node that holds nothing waits for its peers, with as much jitter
/// again, so that a restarted data centre does not ask all at once.
constexpr std::chrono::milliseconds PeerPatience{500};
constexpr std::chrono::milliseconds ShortestPause{200};
constexpr std::chrono::seconds LongestPause{5};
constexpr std::chrono::milliseconds RestStep{50};

} // namespace

bool isWatcher(const std::string &Self, std::vector<std::string> LiveNodes) {
  std::sort(LiveNodes.begin(), LiveNodes.end(),
            [](const std::string &Left, const std::string &Right) {
              return stableHash(Left) < stableHash(Right);
            });
  const std::size_t Count = std::min(LiveNodes.size(), WatchersPerDataCentre);
  const auto End = LiveNodes.begin() + static_cast<std::ptrdiff_t>(Count);
  return std::find(LiveNodes.begin(), End, Self) != End;
}

bundle_watch::bundle_watch(platform_store &Store, bundle_duty &Bundles,
                           std::uint64_t RandomSeed, const clock &Clock)
    : Store(Store), Bundles(Bundles), Clock(Clock), Random(RandomSeed),
      Task(
          "bundle-watch",
          [this](const std::atomic<bool> &Stopping) { run(Stopping); },
          [this] { EndWatch = true; }, {}) {
  const auto Jitter = duration(PeerPatience) * Random.unit();
  ReadAloneAt =
      Clock.now() + PeerPatience + std::chrono::duration_cast<duration>(Jitter);
}

bundle_watch::~bundle_watch() { bundle_watch::stop(); }

void bundle_watch::stop() { Task.stop(); }

void bundle_watch::setWatcher(bool IsChosen) {
  const bool WasChosen = IsChosenWatcher.exchange(IsChosen);
  if (WasChosen && !IsChosen)
    EndWatch = true;
}

void bundle_watch::run(const std::atomic<bool> &Stopping) {
  duration Pause = ShortestPause;
  while (!Stopping) {
    if (!mayRead()) {
      rest(ShortestPause, Stopping);
      continue;
    }
    EndWatch = Stopping.load();
    if (readAndWatch()) {
      Pause = ShortestPause;
      continue;
    }
    // Half of the pause is random, so that watchers do not retry together.
    const auto Jitter = std::chrono::duration_cast<duration>(
        Pause / 2 + Pause * Random.unit() / 2);
    rest(Jitter, Stopping);
    Pause = std::min<duration>(2 * Pause, LongestPause);
  }
}

bool bundle_watch::mayRead() const {
  if (IsChosenWatcher)
    return true;
  return Bundles.held() == nullptr && Clock.now() >= ReadAloneAt;
}

bool bundle_watch::readAndWatch() {
  const auto Now = Store.list(bundle_layout::headKey());
  if (Now.has_error() || !readNewer())
    return false;
  if (!IsChosenWatcher)
    return Bundles.held() != nullptr;
  const auto Watched = Store.watch(
      std::string(bundle_layout::BundlePrefix), Now.value().Revision + 1,
      [this](const platform_watch_batch &Batch) {
        // What changed is read as a whole, which also mends what was missed.
        if (!Batch.Events.empty())
          readNewer();
      },
      EndWatch);
  return Watched.has_value();
}

bool bundle_watch::readNewer() {
  const auto Held = Bundles.held();
  bundle_reader Reader(Store);
  auto Update = Reader.updateAfter(Held ? Held->Head.Version : NoVersion);
  if (Update.has_error())
    return false;
  if (Update.value())
    Bundles.platformHolds(std::move(*Update.value()));
  return true;
}

void bundle_watch::rest(duration Time,
                        const std::atomic<bool> &Stopping) const {
  const instant End = Clock.now() + Time;
  while (!Stopping && Clock.now() < End)
    std::this_thread::sleep_for(RestStep);
}

} // namespace clementine
