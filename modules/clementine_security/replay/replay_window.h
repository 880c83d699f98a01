#ifndef CLEMENTINE_SECURITY_REPLAY_REPLAY_WINDOW_H
#define CLEMENTINE_SECURITY_REPLAY_REPLAY_WINDOW_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace clementine {

/// The result of checking a message against a replay window.
enum class replay_verdict : std::uint8_t {
  /// The message has not been seen before.
  Fresh,
  /// The message was seen before, or is older than the window.
  Replayed,
  /// The message belongs to an earlier epoch of its sender.
  OldEpoch,
};

/// Detects replayed messages of many senders.
///
/// Within an epoch a sender numbers its messages upwards from any start; its
/// epochs increase. For each sender the window keeps the highest number and a
/// bitmap of the WindowWidth numbers up to and including it, as in IPsec's
/// anti-replay window (RFC 4303, section 3.4.3).
///
/// Memory is bounded: above the maximum number of senders the least recently
/// active one is evicted, after which its old messages would be accepted again.
/// Pass only authenticated messages; otherwise an attacker can choose which
/// sender is evicted.
class replay_window {
public:
  /// A message that lags its sender's highest number by this much or more is
  /// refused.
  static constexpr std::uint64_t WindowWidth = 64;

  /// @param MaxSenders the maximum number of tracked senders; at least 1.
  explicit replay_window(std::size_t MaxSenders);

  replay_window(const replay_window &) = delete;
  replay_window &operator=(const replay_window &) = delete;

  /// Checks a message and records it if it is fresh.
  replay_verdict accept(std::uint64_t Sender, std::uint64_t Epoch,
                        std::uint64_t Sequence);

  /// @returns the latest epoch of @p Sender, or none if it is not tracked.
  std::optional<std::uint64_t> epochOf(std::uint64_t Sender) const;

  /// @returns the number of tracked senders.
  std::size_t size() const { return Senders.size(); }

private:
  struct sender_state {
    std::uint64_t Sender = 0;
    std::uint64_t Epoch = 0;
    std::uint64_t Highest = 0;
    /// Bit i is set if the number Highest - i was seen.
    std::uint64_t Seen = 1;
  };

  static replay_verdict advance(sender_state &State, std::uint64_t Sequence);
  void addSender(const sender_state &State);

  const std::size_t MaxSenders;
  /// Ordered from the most to the least recently active sender.
  std::list<sender_state> ByRecency;
  std::unordered_map<std::uint64_t, std::list<sender_state>::iterator> Senders;
};

} // namespace clementine

#endif
