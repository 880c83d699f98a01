#ifndef CLEMENTINE_PLATFORM_ETCD_ETCD_MESSAGES_H
#define CLEMENTINE_PLATFORM_ETCD_ETCD_MESSAGES_H

#include "clementine_platform/store/platform_types.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

/// The published JSON mapping of etcd v3: keys and values in base64, 64-bit
/// numbers as strings, fields of value zero omitted. It does no I/O and is used
/// by the client and by stand-ins for the service.
namespace clementine::etcd {

/// Why a message does not conform to the mapping, and in which field.
struct codec_error {
  enum class fault : std::uint8_t {
    NotJson,
    NotAnObject,
    WrongType,
    BadNumber,
    BadBase64,
    Missing,
  };

  fault Fault = fault::NotJson;
  /// The name of the field, empty for the whole message.
  std::string Field;

  bool operator==(const codec_error &) const = default;

  /// @returns a one-line description for logs.
  std::string text() const;
};

/// A read of one key, or of all keys in [Key, RangeEnd).
struct range_request {
  std::string Key;
  std::string RangeEnd;

  bool operator==(const range_request &) const = default;
};

/// A lease in a request or a response.
struct lease_message {
  lease_id Id = 0;
  std::int64_t TimeToLiveSeconds = 0;

  bool operator==(const lease_message &) const = default;
};

/// A request to start a watch.
struct watch_request {
  std::string Key;
  std::string RangeEnd;
  platform_revision StartRevision = 0;

  bool operator==(const watch_request &) const = default;
};

/// One message of a watch's stream.
struct watch_message {
  platform_watch_batch Batch;
  bool Created = false;
  bool Canceled = false;
  platform_revision CompactRevision = 0;

  bool operator==(const watch_message &) const = default;
};

/// An error reported by the JSON gateway: a gRPC status code and a text.
struct gateway_error {
  std::int64_t Code = 0;
  std::string Message;

  bool operator==(const gateway_error &) const = default;
};

/// The gRPC status codes used here.
constexpr std::int64_t CodeInvalidArgument = 3;
constexpr std::int64_t CodeNotFound = 5;
constexpr std::int64_t CodeOutOfRange = 11;
constexpr std::int64_t CodeUnavailable = 14;

/// @returns the end of the range of all keys that begin with @p Prefix.
std::string prefixEnd(std::string Prefix);

/// @name Names in a compare, in the order of platform_compare's enumerators
constexpr std::array<std::string_view, 3> CompareTargets = {"MOD", "VERSION",
                                                            "CREATE"};
constexpr std::array<const char *, 3> CompareFields = {
    "mod_revision", "version", "create_revision"};
constexpr std::array<std::string_view, 4> CompareRelations = {
    "EQUAL", "GREATER", "LESS", "NOT_EQUAL"};

} // namespace clementine::etcd

#endif
