#ifndef CLEMENTINE_PROXY_SETTINGS_PROXY_SETTINGS_H
#define CLEMENTINE_PROXY_SETTINGS_PROXY_SETTINGS_H

#include "clementine_settings/clementine_settings.h"

#include <optional>
#include <string>

namespace clementine::proxy {

/// Everything that a proxy node is told from outside.
struct proxy_settings {
  std::string Name;
  std::string Zone;
  /// The service of the instance beside this node.
  std::string Service;
  endpoint InstanceAddress;
  /// Where callers, and the instance, send requests.
  endpoint OutboundListen;
  /// Where the instance reports.
  endpoint ControlListen;
  /// Where the deployment asks whether the node takes work.
  endpoint ReadyListen;
  /// Where other nodes link.
  endpoint PeerListen;
  /// Where other nodes are told to link, if it is not PeerListen: behind a
  /// translation of addresses.
  std::optional<endpoint> PeerAdvertised;
  endpoint MetricsListen;
  endpoint StoreAddress;
  /// How long a stop may take.
  duration StopGrace = std::chrono::seconds(6);
  /// The span over which repeats are counted.
  duration RetryWindow = std::chrono::seconds(10);
  /// The share of requests that may be repeated, over all nodes.
  fraction RetryRatio{0.2};
  std::uint64_t MaxConnections = 3000;
  log_threshold LogLevel = log_threshold::Info;

  /// @returns where other nodes link.
  const endpoint &peerAddress() const {
    return PeerAdvertised ? *PeerAdvertised : PeerListen;
  }

  bool operator==(const proxy_settings &) const = default;
};

/// Reads the settings of a proxy node.
/// @param File named in errors.
result<proxy_settings, settings_errors>
readProxySettings(std::string_view Text, const std::string &File);

/// Reads the file.
result<proxy_settings, settings_errors>
loadProxySettings(const std::string &File);

} // namespace clementine::proxy

#endif
