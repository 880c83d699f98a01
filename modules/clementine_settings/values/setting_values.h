#ifndef CLEMENTINE_SETTINGS_VALUES_SETTING_VALUES_H
#define CLEMENTINE_SETTINGS_VALUES_SETTING_VALUES_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace clementine {

struct byte_count {
  std::uint64_t Bytes = 0;

  bool operator==(const byte_count &) const = default;
};

/// A ratio from 0 to 1.
struct fraction {
  double Value = 0;

  bool operator==(const fraction &) const = default;
};

/// A multiplier.
struct factor {
  double Value = 0;

  bool operator==(const factor &) const = default;
};

/// The address of an HTTP service: scheme, host, port and base path.
struct http_url {
  std::string Text;

  bool operator==(const http_url &) const = default;
};

/// The path of a file on the VM.
struct file_path {
  std::string Text;

  bool operator==(const file_path &) const = default;
};

/// The size of each key in the settings, in bytes: an Ed25519 public key, or a
/// secret shared by the nodes.
constexpr std::size_t KeyBytes = 32;

/// A key and its name.
struct named_key {
  /// The owner of a signing key, or the identifier of a shared secret.
  std::string Name;
  std::array<std::uint8_t, KeyBytes> Bytes{};

  bool operator==(const named_key &) const = default;
};

/// How a node limits the concurrency of its upstream.
enum class limiter_kind : std::uint8_t {
  /// The limit adapts to the measured latency of the upstream.
  Learned,
  /// The limit is fixed.
  Static,
  /// There is no limit.
  None,
};

/// The minimum severity of the log records that are written.
enum class log_threshold : std::uint8_t {
  Debug,
  Info,
  Warning,
  Error,
};

} // namespace clementine

#endif
