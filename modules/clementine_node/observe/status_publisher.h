#ifndef CLEMENTINE_NODE_OBSERVE_STATUS_PUBLISHER_H
#define CLEMENTINE_NODE_OBSERVE_STATUS_PUBLISHER_H

#include "clementine_admin/clementine_admin.h"
#include "clementine_bundle/clementine_bundle.h"
#include "clementine_core/clementine_core.h"
#include "clementine_membership/clementine_membership.h"
#include "clementine_node/engine/engine_loop.h"
#include "clementine_node/observe/caller_usage.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace clementine {

/// The sources that a status_publisher reads; they must outlive it.
struct status_sources {
  node_identity Self;
  std::string DataCentre;
  const engine_loop &Engine;
  const caller_usage &Usage;
  /// Returns the bundle in force; null if there is none.
  std::function<std::shared_ptr<const signed_bundle>()> Bundle;
};

/// Publishes the status for operators once a second, on its own thread.
class status_publisher final : public supervised {
public:
  status_publisher(status_sources Sources, const clock &Clock);
  ~status_publisher() override;

  status_publisher(const status_publisher &) = delete;
  status_publisher &operator=(const status_publisher &) = delete;

  const std::string &name() const override { return Task.name(); }
  void start() override { Task.start(); }
  void stop() override { Task.stop(); }

  /// Sets a new view of the members. Callable from any thread.
  void viewChanged(const member_view &View);

  /// @returns the last published status.
  const admin_source &snapshot() const { return Snapshot; }

private:
  void run(const std::atomic<bool> &Stopping);
  node_status currentStatus();
  std::optional<bundle_status> currentBundleStatus();
  void addMembers(node_status &Status) const;
  void addUpstreams(node_status &Status) const;
  void addCallers(node_status &Status) const;

  const status_sources Sources;
  const clock &Clock;
  const instant StartedAt;
  mutable std::mutex ViewMutex;
  member_view View;
  std::uint64_t LastVersion = NoVersion;
  instant InForceSince{};
  status_snapshot Snapshot;
  supervised_task Task;
};

} // namespace clementine

#endif
