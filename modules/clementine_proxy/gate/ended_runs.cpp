#include "clementine_proxy/gate/ended_runs.h"

#include <algorithm>

namespace clementine::proxy {

namespace {

std::size_t bytesOf(const response &Response) {
  std::size_t Bytes = Response.Body.size();
  for (const auto &[Name, Value] : Response.Headers)
    Bytes += Name.size() + Value.size();
  return Bytes;
}

} // namespace

bool attempt_floors::mayBeForgotten(const attempt_origin &Origin) const {
  const auto Node = Nodes.find(Origin.Node);
  if (!Origin.isNumbered() || Node == Nodes.end())
    return false;
  const auto &[Floors, LowestIncarnation] = Node->second;
  const auto Floor = Floors.find(Origin.Incarnation);
  return Floor == Floors.end() ? Origin.Incarnation < LowestIncarnation
                               : Origin.Number < Floor->second;
}

void attempt_floors::forget(const attempt_origin &Origin) {
  if (!Origin.isNumbered())
    return;
  auto &[Floors, LowestIncarnation] = Nodes[Origin.Node];
  if (Origin.Incarnation < LowestIncarnation &&
      !Floors.contains(Origin.Incarnation))
    return;
  std::uint64_t &Floor = Floors[Origin.Incarnation];
  Floor = std::max(Floor, Origin.Number + 1);
  if (Floors.size() <= MaxProcesses)
    return;
  LowestIncarnation = std::max(LowestIncarnation, Floors.begin()->first + 1);
  Floors.erase(Floors.begin());
}

std::optional<run_report> ended_runs::find(const attempt_id &Attempt) const {
  const auto Found = Runs.find(Attempt);
  if (Found == Runs.end())
    return std::nullopt;
  const ended_run &Run = Found->second;
  run_report Report;
  Report.Attempt = Attempt;
  Report.Outcome = Run.Outcome;
  Report.Cause = Run.Cause;
  Report.ReachedInstance = Run.ReachedInstance;
  Report.IsProven = Run.Outcome == run_outcome::NotRun;
  if (Run.Response) {
    Report.Response = *Run.Response;
  } else if (Run.Outcome == run_outcome::Completed) {
    Report.Outcome = run_outcome::Unknown;
    Report.Cause = run_cause::UnknownAttempt;
  }
  return Report;
}

void ended_runs::store(const attempt_origin &Origin, const run_report &Report,
                       instant Now) {
  ended_run Run{
      Now,    Origin, Report.Outcome, Report.Cause, Report.ReachedInstance,
      nullptr};
  // A response over the limit would displace all others.
  if (Report.Outcome == run_outcome::Completed &&
      bytesOf(Report.Response) <= Settings.MaxResponseBytes) {
    Run.Response = std::make_unique<const response>(Report.Response);
    ResponseBytes += bytesOf(Report.Response);
    ResponseOrder.push_back(Report.Attempt);
  }
  Runs[Report.Attempt] = std::move(Run);
  Order.push_back(Report.Attempt);
  limitResponses(Now);
  limitRuns();
}

void ended_runs::passTime(instant Now) { limitResponses(Now); }

void ended_runs::limitResponses(instant Now) {
  while (!ResponseOrder.empty()) {
    const auto Oldest = Runs.find(ResponseOrder.front());
    if (Oldest != Runs.end() && Oldest->second.Response) {
      ended_run &Run = Oldest->second;
      const bool IsFull = ResponseOrder.size() > Settings.MaxResponses ||
                          ResponseBytes > Settings.MaxResponseBytes;
      if (!IsFull && Now - Run.EndedAt < Settings.ResponseRetention)
        return;
      ResponseBytes -= bytesOf(*Run.Response);
      Run.Response.reset();
    }
    ResponseOrder.pop_front();
  }
}

void ended_runs::limitRuns() {
  while (Order.size() > Settings.MaxRuns) {
    if (const auto Oldest = Runs.find(Order.front()); Oldest != Runs.end()) {
      if (Oldest->second.Response)
        ResponseBytes -= bytesOf(*Oldest->second.Response);
      Floors.forget(Oldest->second.Origin);
      Runs.erase(Oldest);
    }
    Order.pop_front();
  }
}

} // namespace clementine::proxy
