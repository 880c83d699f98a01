#ifndef STAND_IN_UPSTREAM_SERVER_NODE_ANNOUNCER_H
#define STAND_IN_UPSTREAM_SERVER_NODE_ANNOUNCER_H

#include "clementine_core/supervision/supervisor.h"
#include "stand_in_http/http_client.h"
#include "stand_in_upstream/server/upstream_settings.h"

#include <functional>

namespace clementine::stand_in {

/// Announces the upstream to its node periodically until it drains.
class node_announcer {
public:
  /// @param Settings has to outlive the announcer.
  /// @param IsCold returns whether the upstream is still in its cold start.
  node_announcer(const upstream_settings &Settings,
                 std::function<bool()> IsCold);
  ~node_announcer();

  node_announcer(const node_announcer &) = delete;
  node_announcer &operator=(const node_announcer &) = delete;

  /// Stops the announcements and notifies the node that the upstream drains.
  /// @returns whether the node acknowledged it; true if there is no node.
  bool drain();

private:
  void announceUntil(const std::atomic<bool> &Stopping);
  void announce();

  const upstream_settings &Settings;
  const std::function<bool()> IsCold;
  http_client Client;
  supervised_task Announcements;
};

} // namespace clementine::stand_in

#endif
