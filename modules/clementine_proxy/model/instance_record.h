#ifndef CLEMENTINE_PROXY_MODEL_INSTANCE_RECORD_H
#define CLEMENTINE_PROXY_MODEL_INSTANCE_RECORD_H

#include "clementine_core/clementine_core.h"

#include <optional>
#include <string>
#include <string_view>

namespace clementine::proxy {

/// The state that an instance reports.
enum class instance_state : std::uint8_t { Ready, Draining };

/// A report of this node's instance, decoded and validated.
struct instance_report {
  std::string Instance;
  std::string Service;
  std::string Zone;
  endpoint Address;
  instance_state State = instance_state::Ready;
  /// The number of requests that it processes concurrently.
  std::uint32_t Slots = 0;
  /// The rest of its warm-up time, during which it responds slowly.
  duration ColdRemaining{0};
  /// Its start in wall-clock milliseconds; orders its runs.
  std::int64_t StartedAt = 0;
  /// Increases with each report of one run.
  std::uint64_t Sequence = 0;

  bool operator==(const instance_report &) const = default;
};

/// One run of an instance process, from its start to its end.
struct instance_run {
  std::string Instance;
  /// Its start in wall-clock milliseconds.
  std::int64_t StartedAt = 0;

  bool operator==(const instance_run &) const = default;
};

/// The record that a node publishes about itself and its instance.
struct node_record {
  std::string Node;
  /// The start of the node process in wall-clock milliseconds; orders the
  /// processes of a node.
  std::uint64_t Incarnation = 0;
  std::string Zone;
  /// The address on which the node accepts links of other nodes.
  endpoint Peer;
  std::string Service;
  /// Empty while no instance accepts requests.
  std::string Instance;
  std::uint32_t Slots = 0;
  /// The last run whose departure the node confirmed. The next process of the
  /// node must not accept that run either.
  std::optional<instance_run> Departed = std::nullopt;

  bool operator==(const node_record &) const = default;

  /// @returns the JSON text that is written to the store. Bytes of a name that
  /// are not UTF-8 are replaced.
  std::string encoded() const;

  /// Parses the result of encoded().
  /// @returns nothing if the text is malformed.
  static std::optional<node_record> decode(std::string_view Text);
};

} // namespace clementine::proxy

#endif
