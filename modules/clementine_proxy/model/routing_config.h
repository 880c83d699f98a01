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

/// A service that receives a share of a route's requests.
struct weighted_service {
  std::string Service;
  /// The share is this weight divided by the sum of the route's weights.
  std::uint32_t Weight = 1;

  bool operator==(const weighted_service &) const = default;
};

/// The services that receive the requests of one host and path prefix, and the
/// limits that apply to them.
struct route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  /// Whether a request may safely run more than once.
  bool IsIdempotent = false;
  /// The longest time until a request gets its response.
  duration Timeout{0};
  /// The response time up to which a response has its highest value.
  duration LatencyObjective{0};
  /// 0 is the highest priority.
  std::uint32_t Priority = 0;
  /// The maximum number of instances on which one request may run.
  std::uint32_t MaxAttempts = 1;
  /// Never empty.
  std::vector<weighted_service> Services;

  bool operator==(const route &) const = default;
};

/// Properties of a service as a whole.
struct service_description {
  std::string Name;
  /// The maximum number of connections that one instance accepts.
  std::uint32_t MaxConnections = 0;

  bool operator==(const service_description &) const = default;
};

/// Limits on the requests and connections of callers.
struct caller_limits {
  /// In bytes.
  std::uint64_t MaxHeader = 16384;
  /// In bytes.
  std::uint64_t MaxBody = std::uint64_t{64} << 20U;
  /// Measured from the first byte of a request to the end of its headers.
  duration HeaderTimeout = std::chrono::seconds(3);
  /// How long a connection may stay open without a request.
  duration IdleTimeout = std::chrono::seconds(15);

  bool operator==(const caller_limits &) const = default;
};

/// One version of the configuration that the operator publishes. Immutable once
/// created.
struct routing_config {
  /// Increases with each new configuration.
  std::uint64_t Version = 0;
  std::vector<route> Routes;
  std::vector<service_description> Services;
  caller_limits Limits;

  bool operator==(const routing_config &) const = default;
};

/// Finds routes in one configuration, which it keeps alive. A lookup computes
/// one hash for each segment of the path, independent of the number of routes.
class route_table {
public:
  explicit route_table(std::shared_ptr<const routing_config> Config);

  const routing_config &config() const { return *Config; }
  const std::shared_ptr<const routing_config> &shared() const { return Config; }

  /// @returns the route of @p Host with the longest prefix of @p Path, or null.
  /// The port and the case of the host name are ignored.
  const route *find(std::string_view Host, std::string_view Path) const;

  /// @returns the priority value of the least urgent route.
  std::uint32_t lowestUrgency() const { return LowestUrgency; }

private:
  static std::string lookupKey(std::string_view Host, std::string_view Prefix);

  const std::shared_ptr<const routing_config> Config;
  std::unordered_map<std::string, const route *> ByHostAndPrefix;
  std::uint32_t LowestUrgency = 0;
};

/// Distributes the requests of a route over its services in proportion to their
/// weights, by smooth weighted round robin: the shares are exact over each full
/// cycle.
class weighted_rotation {
public:
  /// @returns the index of the service that receives the next request.
  std::size_t next(const std::vector<weighted_service> &Services);

private:
  std::vector<std::int64_t> Credits;
};

} // namespace clementine::proxy

#endif
