#include "clementine_request/ledger/past_keys.h"

#include "clementine_core/identity/identity.h"

#include <algorithm>

namespace clementine {

namespace {

/// How much time one sorted run covers.
constexpr std::chrono::hours RunLength{1};

} // namespace

void past_keys::add(std::string_view Key, duration Age) {
  if (Recent.empty())
    RecentBegin = Age;
  else if (Age - RecentBegin >= RunLength)
    closeRecent();
  if (Recent.empty())
    RecentBegin = Age;
  if (Recent.insert(stableHash(Key)).second)
    ++Count;
}

void past_keys::expire(duration Age) {
  while (!Runs.empty() && Runs.front().Begin + RunLength + Keep <= Age) {
    Count -= Runs.front().Hashes.size();
    Runs.pop_front();
  }
}

bool past_keys::contains(std::string_view Key) const {
  const std::uint64_t Hash = stableHash(Key);
  if (Recent.contains(Hash))
    return true;
  return std::any_of(Runs.begin(), Runs.end(), [Hash](const sorted_run &Run) {
    return std::binary_search(Run.Hashes.begin(), Run.Hashes.end(), Hash);
  });
}

void past_keys::closeRecent() {
  sorted_run Run{RecentBegin, {Recent.begin(), Recent.end()}};
  std::sort(Run.Hashes.begin(), Run.Hashes.end());
  Runs.push_back(std::move(Run));
  Recent.clear();
}

} // namespace clementine
