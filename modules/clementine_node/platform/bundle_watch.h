#ifndef CLEMENTINE_NODE_PLATFORM_BUNDLE_WATCH_H
#define CLEMENTINE_NODE_PLATFORM_BUNDLE_WATCH_H

#include "clementine_bundle/clementine_bundle.h"
#include "clementine_core/clementine_core.h"
#include "clementine_node/bundles/bundle_duty.h"
#include "clementine_platform/clementine_platform.h"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace clementine {

/// How many nodes of each data centre watch the platform.
constexpr std::size_t WatchersPerDataCentre = 2;

/// Chooses the nodes that watch the platform from the live nodes of one data
/// centre, by the order of their hashed names. Two views may differ; then there
/// are a few watchers more or fewer for a while, which does no harm.
/// @returns whether @p Self is among them.
bool isWatcher(const std::string &Self, std::vector<std::string> LiveNodes);

/// Brings accepted bundles from the platform to the bundle_duty.
///
/// Only the chosen watchers hold a watch, so that the platform's calls don't
/// grow with the fleet; the others hear of a new version by gossip. A node that
/// holds nothing and hears of nothing reads the platform itself.
class bundle_watch final : public supervised {
public:
  /// @param Store and @p Bundles have to outlive the duty.
  bundle_watch(platform_store &Store, bundle_duty &Bundles,
               std::uint64_t RandomSeed, const clock &Clock);
  ~bundle_watch() override;

  bundle_watch(const bundle_watch &) = delete;
  bundle_watch &operator=(const bundle_watch &) = delete;

  const std::string &name() const override { return Task.name(); }
  void start() override { Task.start(); }
  void stop() override;

  /// Says whether this node is one of the watchers; from any thread.
  void setWatcher(bool IsChosen);

private:
  void run(const std::atomic<bool> &Stopping);
  bool mayRead() const;
  bool readAndWatch();
  bool readNewer();
  void rest(duration Time, const std::atomic<bool> &Stopping) const;

  platform_store &Store;
  bundle_duty &Bundles;
  const clock &Clock;
  seeded_random Random;
  std::atomic<bool> IsChosenWatcher{false};
  /// Ends the present watch.
  std::atomic<bool> EndWatch{false};
  instant ReadAloneAt;
  supervised_task Task;
};

} // namespace clementine

#endif
