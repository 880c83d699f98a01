#include "clementine_routing/callers/caller_allocator.h"

#include <algorithm>

namespace clementine {

namespace {

/// The number of reports in the lifetime of a grant, so that a lost report does
/// not end it.
constexpr int ReportsPerGrant = 3;

/// A node with this many unexpired grants, because it reports faster than they
/// expire, is granted no larger share than it holds.
constexpr std::size_t MaximumIssuedGrants = 16;

} // namespace

caller_allocator::caller_allocator(caller_allocator_settings Settings,
                                   instant ResponsibleSince)
    : Settings(Settings), ResponsibleSince(ResponsibleSince) {}

usage_grant caller_allocator::report(const usage_report &Report,
                                     double ReachableFraction, instant Now) {
  removeInactiveHolders(Now);
  holder &Own = Holders[Report.Node];
  Own.LastReportAt = Now;
  Own.Demand = std::max(0.0, Report.Demand);
  recordHeldGrant(Own, Report, Now);

  const double AvailableFraction =
      Settings.LeasedFraction * std::clamp(ReachableFraction, 0.0, 1.0);
  const double Others = reservedShares(Now) - Own.reserved(Now);
  const double Free = std::max(0.0, AvailableFraction - Others);
  double Share = std::min(fairShare(Own, AvailableFraction), Free);
  const duration Duration = grantDuration();
  // The grants of a previous allocator are known only once their holders
  // report. All of them have expired after one grant duration.
  if (Now - ResponsibleSince < Duration ||
      Own.Issued.size() >= MaximumIssuedGrants)
    Share = std::min(Share,
                     Report.HeldValidFor > duration(0) ? Report.HeldShare : 0);

  ++Own.LastSequence;
  if (Own.Issued.size() >= MaximumIssuedGrants)
    Own.Issued.erase(Own.Issued.begin());
  Own.Issued.push_back({Own.LastSequence, Share, Now + Duration});
  return {Own.LastSequence, Share, Duration, Duration / ReportsPerGrant};
}

void caller_allocator::removeInactiveHolders(instant Now) {
  const duration Duration = grantDuration();
  std::erase_if(Holders, [&](const auto &Entry) {
    const holder &Holder = Entry.second;
    return Now - Holder.LastReportAt > Duration && Holder.reserved(Now) == 0;
  });
}

void caller_allocator::recordHeldGrant(holder &Holder,
                                       const usage_report &Report,
                                       instant Now) {
  std::erase_if(Holder.Issued, [&](const issued_grant &Grant) {
    return Grant.Until <= Now || Grant.Sequence < Report.HeldSequence;
  });
  Holder.LastSequence = std::max(Holder.LastSequence, Report.HeldSequence);
  const bool IsKnown =
      std::any_of(Holder.Issued.begin(), Holder.Issued.end(),
                  [&](const issued_grant &Grant) {
                    return Grant.Sequence == Report.HeldSequence;
                  });
  if (!IsKnown && Report.HeldValidFor > duration(0))
    Holder.Issued.push_back(
        {Report.HeldSequence, Report.HeldShare, Now + Report.HeldValidFor});
}

double caller_allocator::holder::reserved(instant Now) const {
  double Largest = 0;
  for (const issued_grant &Grant : Issued)
    if (Grant.Until > Now)
      Largest = std::max(Largest, Grant.Share);
  return Largest;
}

double caller_allocator::reservedShares(instant Now) const {
  double Sum = 0;
  for (const auto &[Node, Holder] : Holders)
    Sum += Holder.reserved(Now);
  return Sum;
}

double caller_allocator::fairShare(const holder &Holder,
                                   double AvailableFraction) const {
  double All = 0;
  for (const auto &[Node, Other] : Holders)
    All += Other.Demand;
  return All > 0 ? AvailableFraction * Holder.Demand / All : 0;
}

duration caller_allocator::grantDuration() const {
  const double Seconds = static_cast<double>(Holders.size()) * ReportsPerGrant /
                         Settings.TargetReportsPerSecond;
  const std::chrono::duration<double> Target(Seconds);
  return std::max(Settings.MinimumGrantDuration,
                  std::chrono::duration_cast<duration>(Target));
}

} // namespace clementine
