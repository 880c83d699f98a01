#include "clementine_request/ledger/past_keys.h"

#include "clementine_core/identity/identity.h"

#include <algorithm>

namespace clementine {

namespace {

/// The time range covered by one sorted segment.
constexpr std::chrono::hours SegmentLength{1};

} // namespace

void past_keys::add(std::string_view Key, duration LedgerTime) {
  if (Recent.empty())
    RecentBegin = LedgerTime;
  else if (LedgerTime - RecentBegin >= SegmentLength)
    sealRecent();
  if (Recent.empty())
    RecentBegin = LedgerTime;
  if (Recent.insert(stableHash(Key)).second)
    ++Count;
}

void past_keys::expire(duration LedgerTime) {
  while (!Segments.empty() &&
         Segments.front().Begin + SegmentLength + Retention <= LedgerTime) {
    Count -= Segments.front().Hashes.size();
    Segments.pop_front();
  }
}

bool past_keys::contains(std::string_view Key) const {
  const std::uint64_t Hash = stableHash(Key);
  if (Recent.contains(Hash))
    return true;
  return std::any_of(Segments.begin(), Segments.end(),
                     [Hash](const sorted_segment &Segment) {
                       return std::binary_search(Segment.Hashes.begin(),
                                                 Segment.Hashes.end(), Hash);
                     });
}

void past_keys::sealRecent() {
  sorted_segment Segment{RecentBegin, {Recent.begin(), Recent.end()}};
  std::sort(Segment.Hashes.begin(), Segment.Hashes.end());
  Segments.push_back(std::move(Segment));
  Recent.clear();
}

} // namespace clementine
