#ifndef CLEMENTINE_PROXY_SETTINGS_PROXY_SETTINGS_H
#define CLEMENTINE_PROXY_SETTINGS_PROXY_SETTINGS_H

#include "clementine_settings/clementine_settings.h"

#include <optional>
#include <string>

namespace clementine::proxy {

/// Settings of a proxy node, as read from its settings file.
struct proxy_settings {
  std::string Name;
  std::string Zone;
  /// The service of the instance on the same VM as this node.
  std::string Service;
  endpoint InstanceAddress;
  /// Address on which callers, and the instance, send requests to this node.
  endpoint OutboundListen;
  /// Address on which the instance reports its state.
  endpoint ControlListen;
  /// Address for the readiness probes of the deployment.
  endpoint ReadyListen;
  /// Address on which links from other nodes are accepted.
  endpoint PeerListen;
  /// Address that is advertised to other nodes, if it differs from PeerListen
  /// because of network address translation.
  std::optional<endpoint> PeerAdvertised;
  endpoint MetricsListen;
  endpoint StoreAddress;
  /// Maximum duration of a graceful shutdown.
  duration StopGrace = std::chrono::seconds(6);
  /// Time window over which retries are counted.
  duration RetryWindow = std::chrono::seconds(10);
  /// Maximum ratio of retries to requests, over all nodes.
  fraction RetryRatio{0.2};
  std::uint64_t MaxConnections = 3000;
  log_threshold LogLevel = log_threshold::Info;

  /// @returns the address to which other nodes connect.
  const endpoint &peerAddress() const {
    return PeerAdvertised ? *PeerAdvertised : PeerListen;
  }

  bool operator==(const proxy_settings &) const = default;
};

/// Parses the settings of a proxy node.
/// @param File name to report in errors.
result<proxy_settings, settings_errors>
readProxySettings(std::string_view Text, const std::string &File);

/// Reads and parses the settings file @p File.
result<proxy_settings, settings_errors>
loadProxySettings(const std::string &File);

} // namespace clementine::proxy

#endif
