#include "stand_in_platform/server/call_counts.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace clementine::stand_in {

namespace {

constexpr std::array<const char *, 6> KindNames = {
    "range", "txn", "lease_grant", "lease_keepalive", "lease_revoke", "watch"};

} // namespace

void call_counts::add(platform_call Call, instant Now) {
  const std::lock_guard Lock(Mutex);
  ++Calls.at(static_cast<std::size_t>(Call));
  const auto Second =
      std::chrono::duration_cast<std::chrono::seconds>(Now.time_since_epoch());
  if (Second != CurrentSecond) {
    CurrentSecond = Second;
    CallsInSecond = 0;
  }
  MaxCallsInSecond = std::max(MaxCallsInSecond, ++CallsInSecond);
}

void call_counts::addWaitingWatches(int Difference) {
  const std::lock_guard Lock(Mutex);
  WaitingWatches += Difference;
}

std::string call_counts::json() const {
  const std::lock_guard Lock(Mutex);
  nlohmann::json Counts;
  for (std::size_t Kind = 0; Kind < Kinds; ++Kind)
    Counts[KindNames[Kind]] = Calls[Kind];
  Counts["watches_waiting"] = WaitingWatches;
  Counts["most_in_one_second"] = MaxCallsInSecond;
  return Counts.dump();
}

} // namespace clementine::stand_in
