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

/// Remembers for a long time that keys were used, at eight bytes a key.
///
/// Keys are kept by their 64-bit hash, so a key that was never used is taken
/// for a used one about once in 2^64 / size(); that errs on the safe side.
/// Recent hashes stand in a set, older ones in sorted runs of one hour each, so
/// that a look-up takes one search a run.
class past_keys {
public:
  /// @param Keep how long a key is remembered at least.
  explicit past_keys(duration Retention) : Retention(Retention) {}

  past_keys(const past_keys &) = delete;
  past_keys &operator=(const past_keys &) = delete;

  /// Remembers @p Key. @p Age never falls from call to call.
  void add(std::string_view Key, duration LedgerTime);

  /// Drops the runs that were kept long enough.
  void expire(duration LedgerTime);

  /// @returns whether @p Key was added and not dropped since.
  bool contains(std::string_view Key) const;

  /// @returns how many hashes are kept.
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
