#ifndef CLEMENTINE_PROXY_MODEL_ROUTING_CONFIG_H
#define CLEMENTINE_PROXY_MODEL_ROUTING_CONFIG_H

#include "clementine_core/clementine_core.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementine::proxy {

/// A service that takes a share of a route's requests.
struct weighted_service {
  std::string Service;
  /// The share is the weight over the sum of the route's weights.
  std::uint32_t Weight = 1;

  bool operator==(const weighted_service &) const = default;
};

/// Where the requests of one host and path prefix go, and what they may cost.
struct route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  /// Whether a request may run more than once.
  bool IsIdempotent = false;
  /// The longest time that a request is kept waiting.
  duration Timeout{0};
  /// The time within which an answer is worth the most.
  duration LatencyObjective{0};
  /// 0 is the most important.
  std::uint32_t Priority = 0;
  /// The most instances on which one request may run.
  std::uint32_t MaxAttempts = 1;
  /// Never empty.
  std::vector<weighted_service> Services;

  bool operator==(const route &) const = default;
};

/// What is known of a service as a whole.
struct service_description {
  std::string Name;
  /// The most connections that one instance accepts.
  std::uint32_t MaxConnections = 0;

  bool operator==(const service_description &) const = default;
};

/// Bounds on what a caller may send.
struct caller_limits {
  /// In bytes.
  std::uint64_t MaxHeader = 16384;
  /// In bytes.
  std::uint64_t MaxBody = std::uint64_t{64} << 20U;
  /// From the first byte of a request to the end of its headers.
  duration HeaderTimeout = std::chrono::seconds(3);
  /// How long a connection may stay without a request.
  duration IdleTimeout = std::chrono::seconds(15);

  bool operator==(const caller_limits &) const = default;
};

/// One version of everything that the operator decides. Immutable once made.
struct routing_config {
  /// Only rises.
  std::uint64_t Version = 0;
  std::vector<route> Routes;
  std::vector<service_description> Services;
  caller_limits Limits;

  bool operator==(const routing_config &) const = default;
};

/// Finds routes in one configuration, which it keeps alive. A lookup costs a
/// hash for each segment of the path, however many routes there are.
class route_table {
public:
  explicit route_table(std::shared_ptr<const routing_config> Config);

  const routing_config &config() const { return *Config; }
  const std::shared_ptr<const routing_config> &shared() const { return Config; }

  /// @returns the route of @p Host with the longest prefix that begins
  /// @p Path, or null. A port after the host name does not count, and case in
  /// it does not either.
  const route *find(std::string_view Host, std::string_view Path) const;

  /// @returns the priority of the least urgent route.
  std::uint32_t lowestUrgency() const { return LowestUrgency; }

private:
  static std::string keyOf(std::string_view Host, std::string_view Prefix);

  const std::shared_ptr<const routing_config> Config;
  std::unordered_map<std::string, const route *> ByHostAndPrefix;
  std::uint32_t LowestUrgency = 0;
};

/// Deals the requests of a route to its services in proportion to their
/// weights: smooth weighted round robin, whose shares are exact over every full
/// turn.
class weighted_rotation {
public:
  /// @returns the index of the service that the next request goes to.
  std::size_t next(const std::vector<weighted_service> &Services);

private:
  std::vector<std::int64_t> Credits;
};

} // namespace clementine::proxy

#endif
