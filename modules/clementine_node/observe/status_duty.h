#ifndef CLEMENTINE_NODE_OBSERVE_STATUS_DUTY_H
#define CLEMENTINE_NODE_OBSERVE_STATUS_DUTY_H

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

/// Where a status_duty looks; all outlive it.
struct status_sources {
  node_identity Self;
  std::string DataCentre;
  const engine_loop &Engine;
  const caller_usage &Usage;
  /// Gives the bundle in force; null for none.
  std::function<std::shared_ptr<const signed_bundle>()> Bundle;
};

/// Makes the status that operators see, once a second on its own thread.
class status_duty final : public supervised {
public:
  status_duty(status_sources Sources, const clock &Clock);
  ~status_duty() override;

  status_duty(const status_duty &) = delete;
  status_duty &operator=(const status_duty &) = delete;

  const std::string &name() const override { return Task.name(); }
  void start() override { Task.start(); }
  void stop() override { Task.stop(); }

  /// Takes a new view of the members; from any thread.
  void viewChanged(const member_view &View);

  /// @returns what was published last.
  const admin_source &snapshot() const { return Snapshot; }

private:
  void run(const std::atomic<bool> &Stopping);
  node_status statusNow();
  std::optional<bundle_status> bundleNow();
  void addMembers(node_status &Status) const;
  void addUpstreams(node_status &Status) const;
  void addCallers(node_status &Status) const;

  const status_sources Sources;
  const clock &Clock;
  const instant StartedAt;
  mutable std::mutex ViewMutex;
  member_view View;
  std::uint64_t SeenVersion = NoVersion;
  instant InForceSince{};
  status_snapshot Snapshot;
  supervised_task Task;
};

} // namespace clementine

#endif
