#include "clementine_routing/callers/caller_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace clementine {

namespace {

/// The retry delay for a caller at its concurrency limit. It is fixed, since
/// nothing indicates when one of its requests will end.
constexpr duration ConcurrencyRetryAfter = std::chrono::milliseconds(100);

double seconds(duration Span) {
  return std::chrono::duration<double>(Span).count();
}

/// A fraction of an infinite limit is infinite, even if the fraction is 0.
double fractionOf(double Limit, double Fraction) {
  return std::isinf(Limit) ? Limit : Limit * Fraction;
}

double burstOf(double Rate, duration Burst) {
  return std::max(1.0, Rate * seconds(Burst));
}

} // namespace

caller_limits::caller_limits(caller_limits_settings Settings)
    : Settings(std::move(Settings)) {}

void caller_limits::setLimit(const std::string &Caller, caller_limit Limit) {
  Callers[Caller].Limit = Limit;
}

void caller_limits::removeCaller(const std::string &Caller) {
  Callers.erase(Caller);
}

void caller_limits::setNodeCount(std::size_t Count) {
  Nodes = std::max<std::size_t>(Count, 1);
}

result<void, caller_refusal> caller_limits::begin(const std::string &Caller,
                                                  double Cost, instant Now) {
  const auto Known = Callers.find(Caller);
  if (Known == Callers.end())
    return caller_refusal{caller_limit_kind::UnknownCaller, duration(0)};
  caller_state &State = Known->second;
  countDemand(State, Cost, Now);

  const double Fraction = limitFraction(State, Now);
  const double Concurrency =
      std::max(1.0, std::floor(fractionOf(State.Limit.Concurrency, Fraction)));
  if (static_cast<double>(State.Running) >= Concurrency)
    return caller_refusal{caller_limit_kind::Concurrency,
                          ConcurrencyRetryAfter};

  const double Rate = fractionOf(State.Limit.Rate, Fraction);
  const double RateBurst = burstOf(Rate, Settings.Burst);
  if (!std::isinf(Rate))
    State.Requests.refill(Rate, RateBurst, Now);
  if (!std::isinf(Rate) && !State.Requests.has(1.0, RateBurst))
    return caller_refusal{caller_limit_kind::Rate,
                          State.Requests.waitFor(1.0, RateBurst, Rate)};

  const double CostRate = fractionOf(State.Limit.CostRate, Fraction);
  const double CostBurst = burstOf(CostRate, Settings.Burst);
  if (!std::isinf(CostRate))
    State.Cost.refill(CostRate, CostBurst, Now);
  if (!std::isinf(CostRate) && !State.Cost.has(Cost, CostBurst))
    return caller_refusal{caller_limit_kind::Cost,
                          State.Cost.waitFor(Cost, CostBurst, CostRate)};

  State.Requests.take(std::isinf(Rate) ? 0.0 : 1.0);
  State.Cost.take(std::isinf(CostRate) ? 0.0 : Cost);
  ++State.Running;
  return success();
}

void caller_limits::end(const std::string &Caller) {
  const auto Known = Callers.find(Caller);
  if (Known != Callers.end() && Known->second.Running > 0)
    --Known->second.Running;
}

std::optional<usage_report>
caller_limits::takeDueReport(const std::string &Caller, instant Now) {
  const auto Known = Callers.find(Caller);
  if (Known == Callers.end() || Now < Known->second.NextReport)
    return std::nullopt;
  caller_state &State = Known->second;
  decayDemand(State, Now);
  const double Demand = demand(State);
  const bool HoldsGrant = Now < State.GrantUntil;
  constexpr double MinimumDemand = 1e-6;
  if (Demand < MinimumDemand && !HoldsGrant)
    return std::nullopt;
  State.NextReport = Now + (HoldsGrant ? State.Grant.ReportAfter
                                       : Settings.FirstReportInterval);
  return usage_report{Settings.OwnName, Demand, State.Grant.Sequence,
                      HoldsGrant ? State.Grant.Share : 0.0,
                      HoldsGrant ? State.GrantUntil - Now : duration(0)};
}

void caller_limits::onGrant(const std::string &Caller, const usage_grant &Grant,
                            instant ReportedAt) {
  const auto Known = Callers.find(Caller);
  if (Known == Callers.end())
    return;
  caller_state &State = Known->second;
  if (Grant.Sequence <= State.Grant.Sequence)
    return;
  State.Grant = Grant;
  State.GrantUntil = ReportedAt + Grant.ValidFor;
  State.NextReport = ReportedAt + Grant.ReportAfter;
}

double caller_limits::limitFraction(const std::string &Caller,
                                    instant Now) const {
  const auto Known = Callers.find(Caller);
  return Known == Callers.end() ? 0.0 : limitFraction(Known->second, Now);
}

double caller_limits::limitFraction(const caller_state &State,
                                    instant Now) const {
  const double Equal = Settings.EqualFraction / static_cast<double>(Nodes);
  return Equal + (Now < State.GrantUntil ? State.Grant.Share : 0.0);
}

void caller_limits::countDemand(caller_state &State, double Cost,
                                instant Now) const {
  decayDemand(State, Now);
  State.RequestDemand += 1.0;
  State.CostDemand += Cost;
}

void caller_limits::decayDemand(caller_state &State, instant Now) const {
  const double DecayFactor = std::exp(-seconds(Now - State.DecayedAt) /
                                      seconds(Settings.DemandAveragingTime));
  State.RequestDemand *= DecayFactor;
  State.CostDemand *= DecayFactor;
  State.DecayedAt = Now;
}

double caller_limits::demand(const caller_state &State) const {
  const double AveragingTime = seconds(Settings.DemandAveragingTime);
  const double ByRate = State.RequestDemand / AveragingTime / State.Limit.Rate;
  const double ByCost = State.CostDemand / AveragingTime / State.Limit.CostRate;
  const double ByConcurrency =
      static_cast<double>(State.Running) / State.Limit.Concurrency;
  return std::max({ByRate, ByCost, ByConcurrency});
}

} // namespace clementine
