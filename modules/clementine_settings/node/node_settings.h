#ifndef CLEMENTINE_SETTINGS_NODE_NODE_SETTINGS_H
#define CLEMENTINE_SETTINGS_NODE_NODE_SETTINGS_H

#include "clementine_core/identity/identity.h"
#include "clementine_core/time/clock.h"
#include "clementine_settings/values/setting_values.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace clementine {

/// The configuration that a node is started with.
///
/// readSettings() creates it, checks every value and fills in the defaults. It
/// does not change while the node runs.
///
/// @see settingsTable() for units, ranges, defaults and descriptions.
struct node_settings {
  /// @name [node]
  std::string Name;
  std::string DataCentre;
  endpoint HttpListen;
  endpoint PeerListen;
  endpoint GossipListen;
  endpoint AdminListen;

  /// @name [upstream]
  std::string UpstreamService;
  std::optional<endpoint> UpstreamAddress;
  std::uint64_t UpstreamConnections = 0;

  /// @name [platform]
  std::optional<http_url> PlatformUrl;
  duration PlatformTimeout{};

  /// @name [membership]
  std::vector<endpoint> Seeds;
  duration ProbeInterval{};
  factor SuspicionMultiplier;
  byte_count GossipBytesPerSecond;

  /// @name [bundle]
  std::vector<named_key> TrustedKeys;
  std::optional<file_path> BundleFile;

  /// @name [security]
  std::vector<named_key> PeerKeys;

  /// @name [admission]
  limiter_kind Limiter = limiter_kind::Learned;
  std::uint64_t StaticLimit = 0;
  std::uint64_t InitialLimit = 0;
  factor QueuePerSlot;

  /// @name [retries]
  fraction RetryShare;

  /// @name [limits]
  std::uint64_t CallerConnections = 0;
  byte_count BodyBytes;
  std::uint64_t LedgerEntries = 0;
  duration LedgerKeep{};

  /// @name [telemetry]
  log_threshold LogLevel = log_threshold::Info;
  std::optional<http_url> SpanCollector;
  fraction SampleShare;

  /// @name [stop]
  duration StopGrace{};

  bool operator==(const node_settings &) const = default;
};

} // namespace clementine

#endif
