#ifndef CLEMENTINE_CORE_IDENTITY_IDENTITY_H
#define CLEMENTINE_CORE_IDENTITY_IDENTITY_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace clementine {

/// An IP address and a port.
struct endpoint {
  std::string Host;
  std::uint16_t Port = 0;

  bool operator==(const endpoint &) const = default;
  std::strong_ordering operator<=>(const endpoint &Other) const {
    return std::tie(Host, Port) <=> std::tie(Other.Host, Other.Port);
  }

  /// @returns the endpoint as `host:port`.
  std::string text() const;
};

/// Identifies one run of one node.
///
/// The name belongs to the VM's slot and is kept across restarts. The
/// incarnation increases with every start and every refutation, so that
/// information about an earlier run is never attributed to the current one.
struct node_identity {
  std::string Name;
  std::uint64_t Incarnation = 0;

  bool operator==(const node_identity &) const = default;
  std::strong_ordering operator<=>(const node_identity &Other) const {
    return std::tie(Name, Incarnation) <=>
           std::tie(Other.Name, Other.Incarnation);
  }
};

/// The number of low bits of an incarnation that count refutations. The bits
/// above them hold the wall-clock time in milliseconds at which the run began.
constexpr unsigned RefutationBits = 20;

/// @returns @p Incarnation without its refutation count: the incarnation at the
/// start of the run, which identifies the run regardless of later refutations.
constexpr std::uint64_t incarnationAtStart(std::uint64_t Incarnation) {
  return (Incarnation >> RefutationBits) << RefutationBits;
}

/// @returns the incarnation of a run that began at @p WallMilliseconds.
constexpr std::uint64_t firstIncarnation(std::uint64_t WallMilliseconds) {
  return WallMilliseconds << RefutationBits;
}

/// A random 128-bit identifier of a request.
struct request_id {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  bool operator==(const request_id &) const = default;
  std::strong_ordering operator<=>(const request_id &Other) const {
    return std::tie(High, Low) <=> std::tie(Other.High, Other.Low);
  }

  /// @returns 32 lower-case hexadecimal digits.
  std::string text() const;

  /// Parses 32 hexadecimal digits.
  /// @returns false, leaving @p Id unchanged, for any other text.
  static bool parse(std::string_view Text, request_id &Id);
};

/// Hashes a request identifier for unordered containers.
struct request_id_hash {
  std::size_t operator()(const request_id &Id) const noexcept {
    return static_cast<std::size_t>(Id.High ^ (Id.Low * 0x9e3779b97f4a7c15ULL));
  }
};

/// Hashes a string to 64 bits, identically on every node and in every version.
///
/// FNV-1a (RFC draft eastlake-fnv) with a SplitMix64 finaliser. Not
/// cryptographically secure.
std::uint64_t stableHash(std::string_view Text);

/// The importance of a caller's operation. Under overload the less important
/// levels are shed first; the enumerators run from most to least important.
enum class importance : std::uint8_t {
  Critical = 0,
  High = 1,
  Normal = 2,
  Low = 3,
};

/// The number of importance levels.
constexpr std::size_t ImportanceLevels = 4;

/// @returns the lower-case name of @p Level as written in the bundle.
std::string_view importanceName(importance Level);

/// Parses the name of an importance level.
/// @returns false, leaving @p Level unchanged, for an unknown name.
bool parseImportance(std::string_view Name, importance &Level);

} // namespace clementine

#endif
