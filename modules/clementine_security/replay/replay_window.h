#ifndef CLEMENTINE_SECURITY_REPLAY_REPLAY_WINDOW_H
#define CLEMENTINE_SECURITY_REPLAY_REPLAY_WINDOW_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace clementine {

/// What a replay window says of a message.
enum class replay_verdict : std::uint8_t {
  /// It is seen for the first time.
  Fresh,
  /// It was seen before, or is older than the window.
  Replayed,
  /// It belongs to an earlier epoch of its sender.
  OldEpoch,
};

/// Recognises messages that were seen before, for many senders.
///
/// A sender numbers its messages upwards from any start within an epoch, and
/// its epochs rise. For each sender the highest number and a bitmap of the
/// WindowWidth numbers below it are kept, as in IPsec's anti-replay window (RFC
/// 4303, section 3.4.3).
///
/// Memory is bounded: beyond the most senders the one that was silent longest
/// is forgotten, after which its old messages would pass again. Only feed it
/// with authenticated messages, or an attacker picks who is forgotten.
class replay_window {
public:
  /// How far a message may lag behind its sender's newest one.
  static constexpr std::uint64_t WindowWidth = 64;

  /// @param MostSenders the most senders that are remembered; at least 1.
  explicit replay_window(std::size_t MostSenders);

  replay_window(const replay_window &) = delete;
  replay_window &operator=(const replay_window &) = delete;

  /// Judges a message and remembers it when fresh.
  replay_verdict accept(std::uint64_t Sender, std::uint64_t Epoch,
                        std::uint64_t Sequence);

  /// @returns the latest epoch of @p Sender; none for one not remembered.
  std::optional<std::uint64_t> epochOf(std::uint64_t Sender) const;

  /// @returns how many senders are remembered.
  std::size_t size() const { return Senders.size(); }

private:
  struct sender_state {
    std::uint64_t Sender = 0;
    std::uint64_t Epoch = 0;
    std::uint64_t Highest = 0;
    /// Bit i stands for the number Highest - i.
    std::uint64_t Seen = 1;
  };

  static replay_verdict advance(sender_state &State, std::uint64_t Sequence);
  void remember(const sender_state &State);

  const std::size_t MostSenders;
  /// The sender that was heard last stands first.
  std::list<sender_state> ByRecency;
  std::unordered_map<std::uint64_t, std::list<sender_state>::iterator> Senders;
};

} // namespace clementine

#endif
