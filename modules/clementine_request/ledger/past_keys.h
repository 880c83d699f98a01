#ifndef CLEMENTINE_REQUEST_LEDGER_PAST_KEYS_H
#define CLEMENTINE_REQUEST_LEDGER_PAST_KEYS_H

#include "clementine_core/time/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace clementine {

/// Long-term record of used idempotency keys, at eight bytes per key.
///
/// Keys are stored as 64-bit hashes, so an unused key is mistaken for a used
/// one with a probability of about size() / 2^64; this errs on the safe side.
/// Recent hashes are kept in a set, older ones in sorted segments of one hour
/// each, so that a look-up takes one binary search per segment.
class past_keys {
public:
  /// @param Retention the minimum time for which a key is kept.
  explicit past_keys(duration Retention) : Retention(Retention) {}

  past_keys(const past_keys &) = delete;
  past_keys &operator=(const past_keys &) = delete;

  /// Adds @p Key. @p LedgerTime must not decrease from call to call.
  void add(std::string_view Key, duration LedgerTime);

  /// Removes the segments whose retention time has passed.
  void expire(duration LedgerTime);

  /// @returns whether @p Key was added and has not expired.
  bool contains(std::string_view Key) const;

  /// @returns the number of stored hashes.
  std::size_t size() const { return Count; }

private:
  struct sorted_segment {
    duration Begin{0};
    std::vector<std::uint64_t> Hashes;
  };

  void sealRecent();

  const duration Retention;
  std::unordered_set<std::uint64_t> Recent;
  duration RecentBegin{0};
  std::deque<sorted_segment> Segments;
  std::size_t Count = 0;
};

} // namespace clementine

#endif
