#include "clementine_node/platform/bundle_watch.h"

#include <algorithm>
#include <utility>

namespace clementine {

namespace {

/// How long a node without a bundle waits for its peers, plus a random time of
/// up to the same length, so that the nodes of a restarted data centre do not
/// all read the platform at once.
constexpr std::chrono::milliseconds PeerWait{500};
constexpr std::chrono::milliseconds MinRetryDelay{200};
constexpr std::chrono::seconds MaxRetryDelay{5};
constexpr std::chrono::milliseconds StopPollInterval{50};

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

bundle_watch::bundle_watch(platform_store &Store, bundle_synchronizer &Bundles,
                           std::uint64_t RandomSeed, const clock &Clock)
    : Store(Store), Bundles(Bundles), Clock(Clock), Random(RandomSeed),
      Task(
          "bundle-watch",
          [this](const std::atomic<bool> &Stopping) { run(Stopping); },
          [this] { CancelWatch = true; }, {}) {
  const auto Jitter = duration(PeerWait) * Random.unit();
  FallbackReadAt =
      Clock.now() + PeerWait + std::chrono::duration_cast<duration>(Jitter);
}

bundle_watch::~bundle_watch() { bundle_watch::stop(); }

void bundle_watch::stop() { Task.stop(); }

void bundle_watch::setWatcher(bool IsChosen) {
  const bool WasChosen = IsChosenWatcher.exchange(IsChosen);
  if (WasChosen && !IsChosen)
    CancelWatch = true;
}

void bundle_watch::run(const std::atomic<bool> &Stopping) {
  duration RetryDelay = MinRetryDelay;
  while (!Stopping) {
    if (!shouldReadPlatform()) {
      sleepUnlessStopping(MinRetryDelay, Stopping);
      continue;
    }
    CancelWatch = Stopping.load();
    if (readAndWatch()) {
      RetryDelay = MinRetryDelay;
      continue;
    }
    // Half of the delay is random, so that watchers do not retry at the same
    // time.
    const auto Jitter = std::chrono::duration_cast<duration>(
        RetryDelay / 2 + RetryDelay * Random.unit() / 2);
    sleepUnlessStopping(Jitter, Stopping);
    RetryDelay = std::min<duration>(2 * RetryDelay, MaxRetryDelay);
  }
}

bool bundle_watch::shouldReadPlatform() const {
  if (IsChosenWatcher)
    return true;
  return Bundles.currentBundle() == nullptr && Clock.now() >= FallbackReadAt;
}

bool bundle_watch::readAndWatch() {
  const auto Now = Store.list(bundle_layout::headKey());
  if (Now.has_error() || !readNewer())
    return false;
  if (!IsChosenWatcher)
    return Bundles.currentBundle() != nullptr;
  const auto Watched = Store.watch(
      std::string(bundle_layout::BundlePrefix), Now.value().Revision + 1,
      [this](const platform_watch_batch &Batch) {
        // The newest bundle is read in full, which also makes up for missed
        // events.
        if (!Batch.Events.empty())
          readNewer();
      },
      CancelWatch);
  return Watched.has_value();
}

bool bundle_watch::readNewer() {
  const auto CurrentBundle = Bundles.currentBundle();
  bundle_reader Reader(Store);
  auto Update = Reader.updateAfter(CurrentBundle ? CurrentBundle->Head.Version
                                                 : NoVersion);
  if (Update.has_error())
    return false;
  if (Update.value())
    Bundles.updateArrived(std::move(*Update.value()));
  return true;
}

void bundle_watch::sleepUnlessStopping(
    duration Time, const std::atomic<bool> &Stopping) const {
  const instant End = Clock.now() + Time;
  while (!Stopping && Clock.now() < End)
    std::this_thread::sleep_for(StopPollInterval);
}

} // namespace clementine
