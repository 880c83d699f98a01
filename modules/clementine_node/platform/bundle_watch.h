#ifndef CLEMENTINE_NODE_PLATFORM_BUNDLE_WATCH_H
#define CLEMENTINE_NODE_PLATFORM_BUNDLE_WATCH_H

#include "clementine_bundle/clementine_bundle.h"
#include "clementine_core/clementine_core.h"
#include "clementine_node/bundles/bundle_synchronizer.h"
#include "clementine_platform/clementine_platform.h"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace clementine {

/// Number of nodes in each data centre that watch the platform.
constexpr std::size_t WatchersPerDataCentre = 2;

/// Selects the nodes that watch the platform from the live nodes of one data
/// centre, in the order of their hashed names. If the views of two nodes
/// differ, there are temporarily a few watchers more or fewer, which is
/// harmless.
/// @returns whether @p Self is among them.
bool isWatcher(const std::string &Self, std::vector<std::string> LiveNodes);

/// Passes accepted bundles from the platform to the bundle_synchronizer.
///
/// Only the selected watchers keep a watch open, so that the number of platform
/// calls does not grow with the number of nodes; the others learn of a new
/// version by gossip. A node that has received no bundle after a while reads
/// the platform itself.
class bundle_watch final : public supervised {
public:
  /// @param Store and @p Bundles have to outlive this object.
  bundle_watch(platform_store &Store, bundle_synchronizer &Bundles,
               std::uint64_t RandomSeed, const clock &Clock);
  ~bundle_watch() override;

  bundle_watch(const bundle_watch &) = delete;
  bundle_watch &operator=(const bundle_watch &) = delete;

  const std::string &name() const override { return Task.name(); }
  void start() override { Task.start(); }
  void stop() override;

  /// Sets whether this node is one of the watchers. Callable from any thread.
  void setWatcher(bool IsChosen);

private:
  void run(const std::atomic<bool> &Stopping);
  bool shouldReadPlatform() const;
  bool readAndWatch();
  bool readNewer();
  void sleepUnlessStopping(duration Time,
                           const std::atomic<bool> &Stopping) const;

  platform_store &Store;
  bundle_synchronizer &Bundles;
  const clock &Clock;
  seeded_random Random;
  std::atomic<bool> IsChosenWatcher{false};
  /// Cancels the current watch.
  std::atomic<bool> CancelWatch{false};
  instant FallbackReadAt;
  supervised_task Task;
};

} // namespace clementine

#endif
