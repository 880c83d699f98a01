#include "clementine_proxy/gate/instance_gate.h"

#include "clementine_telemetry/clementine_telemetry.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace clementine::proxy {

namespace {

constexpr unsigned FirstServerError = 500;

const logger &log() {
  static const logger Log("gate");
  return Log;
}

/// A call from an instance does not say which request caused it, so it may
/// belong to one of the lowest priority. Therefore only routes of priority 0
/// are preferred; all others are queued in order of arrival.
importance importanceOf(std::uint32_t Priority) {
  return Priority == 0 ? importance::Critical : importance::Normal;
}

run_cause causeOf(refusal_reason Reason) {
  switch (Reason) {
  case refusal_reason::DeadlineTooClose:
    return run_cause::TooLate;
  case refusal_reason::Draining:
    return run_cause::NoInstance;
  default:
    return run_cause::Overloaded;
  }
}

work_result workOf(const instance_result &Result) {
  switch (Result.Outcome) {
  case run_outcome::Completed:
    return {work_outcome::Completed, {}};
  case run_outcome::NotRun:
    if (!Result.ReachedInstance)
      break;
    return {work_outcome::Shed, {}};
  case run_outcome::Unknown:
    break;
  }
  return {work_outcome::Failed, {}};
}

} // namespace

instance_gate::instance_gate(instance_gate_settings Settings,
                             instance_registration &Registration,
                             gate_port &Port)
    : Settings(Settings), Registration(Registration), Port(Port),
      Ended(Settings.EndedRuns) {}

instance_gate::~instance_gate() = default;

void instance_gate::order(std::uint64_t Link, attempt_request AttemptRequest,
                          instant Now) {
  Ended.passTime(Now);
  const attempt_id Attempt = AttemptRequest.Attempt;
  if (Runs.contains(Attempt) || reportEnded(Link, Attempt, Now))
    return;
  if (Ended.mayBeForgotten(AttemptRequest.Origin))
    // It may have been refused on a query, and the entry told so.
    return Port.report(Link, unknownAttempt(Attempt, false, Now));
  const instant Deadline =
      Now + std::chrono::microseconds(AttemptRequest.TimeLeftMicroseconds);
  active_run &Run = Runs[Attempt];
  Run.Link = Link;
  Run.AttemptRequest = std::move(AttemptRequest);
  Run.Deadline = Deadline;
  if (Now >= RefusesFrom || Registration.ready() == nullptr || !Admission ||
      Run.AttemptRequest.Service != Registration.ready()->Service)
    return refuse(Attempt, run_cause::NoInstance, Now);
  if (Now < UnreachableUntil)
    return refuse(Attempt, run_cause::Unreachable, Now);
  if (exceedsDownstreamLimit(Run))
    return refuse(Attempt, run_cause::LoadShed, Now);
  admission_ticket Ticket;
  Ticket.RequestId = Attempt;
  Ticket.Importance = importanceOf(Run.AttemptRequest.Priority);
  Ticket.Deadline = Deadline;
  const offer_decision Decision = Admission->offer(Ticket, Now);
  applyActions(Decision.Others, Now);
  if (Decision.Verdict == offer_verdict::Admitted)
    start(Attempt, Now);
  else if (Decision.Verdict == offer_verdict::Refused)
    refuse(Attempt, causeOf(Decision.Reason), Now);
}

bool instance_gate::exceedsDownstreamLimit(active_run &Run) {
  if (!Run.AttemptRequest.HasLowestPriority)
    return false;
  if (!Downstream->admits())
    return true;
  Run.CountsDownstream = true;
  Downstream->started();
  return false;
}

void instance_gate::updateDownstreamLimit(const active_run &Run,
                                          const instance_result &Result,
                                          instant Now) {
  if (!Run.CountsDownstream || !Downstream)
    return;
  if (!Run.IsRunning || Result.Outcome != run_outcome::Completed)
    return Downstream->endedWithoutResult();
  Downstream->ended(Result.Response.Status >= FirstServerError, Run.StartedAt,
                    Now);
}

void instance_gate::start(const attempt_id &Attempt, instant Now) {
  const auto Found = Runs.find(Attempt);
  if (Found == Runs.end())
    return;
  active_run &Run = Found->second;
  Run.IsRunning = true;
  Run.StartedAt = Now;
  if (const auto &Current = Registration.current())
    Run.Instance = {Current->Instance, Current->StartedAt};
  Port.callInstance({Attempt, Instance, Run.AttemptRequest.IsIdempotent,
                     Run.Deadline, std::move(Run.AttemptRequest.Request)});
}

void instance_gate::applyActions(const gate_actions &Actions, instant Now) {
  for (const refused_ticket &Refused : Actions.Refused)
    refuse(Refused.Ticket.RequestId, causeOf(Refused.Reason), Now);
  for (const admission_ticket &Started : Actions.Started)
    start(Started.RequestId, Now);
}

void instance_gate::refuse(const attempt_id &Attempt, run_cause Cause,
                           instant Now) {
  instance_result Result;
  Result.Cause = Cause;
  finish(Attempt, std::move(Result), Now);
}

void instance_gate::finish(const attempt_id &Attempt, instance_result Result,
                           instant Now) {
  const auto Found = Runs.find(Attempt);
  if (Found == Runs.end())
    return;
  const std::uint64_t Link = Found->second.Link;
  const attempt_origin Origin = Found->second.AttemptRequest.Origin;
  updateDownstreamLimit(Found->second, Result, Now);
  if (Result.Outcome != run_outcome::Completed)
    log().info("run not completed",
               {{"id", Found->second.AttemptRequest.RequestId},
                {"outcome", runOutcomeName(Result.Outcome)},
                {"cause", runCauseName(Result.Cause)},
                {"instance", Instance},
                {"running", Admission ? Admission->running() : 0},
                {"queued", Admission ? Admission->queued() : 0},
                {"limit", Slots},
                {"least_urgent_limit",
                 Downstream ? static_cast<int>(Downstream->limit()) : 0}});
  Runs.erase(Found);
  run_report Report{Attempt,
                    Result.Outcome,
                    Result.Cause,
                    Result.ReachedInstance,
                    std::move(Result.Response),
                    status(Now),
                    0,
                    Result.Outcome == run_outcome::NotRun};
  if (Link != OwnEntryLink)
    Ended.store(Origin, Report, Now);
  Port.report(Link, std::move(Report));
}

bool instance_gate::reportEnded(std::uint64_t Link, const attempt_id &Attempt,
                                instant Now) {
  std::optional<run_report> Past = Ended.find(Attempt);
  if (!Past)
    return false;
  Past->Gate = status(Now);
  Port.report(Link, std::move(*Past));
  return true;
}

run_report instance_gate::unknownAttempt(const attempt_id &Attempt,
                                         bool IsProvenNotRun,
                                         instant Now) const {
  run_report Report;
  Report.Attempt = Attempt;
  Report.Outcome = IsProvenNotRun ? run_outcome::NotRun : run_outcome::Unknown;
  Report.Cause = run_cause::UnknownAttempt;
  Report.ReachedInstance = !IsProvenNotRun;
  Report.Gate = status(Now);
  Report.IsProven = IsProvenNotRun;
  return Report;
}

void instance_gate::query(std::uint64_t Link, const run_query &Query,
                          instant Now) {
  if (const auto Found = Runs.find(Query.Attempt); Found != Runs.end()) {
    Found->second.Link = Link;
    return;
  }
  if (reportEnded(Link, Query.Attempt, Now))
    return;
  const bool IsForgotten = Ended.mayBeForgotten(Query.Origin);
  run_report Report = unknownAttempt(
      Query.Attempt, Query.Origin.isNumbered() && !IsForgotten, Now);
  log().info("query for an unknown attempt",
             {{"attempt", Query.Attempt.text()},
              {"outcome", runOutcomeName(Report.Outcome)}});
  // Its order may still be on the way, and must not run.
  if (!IsForgotten)
    Ended.store(Query.Origin, Report, Now);
  Port.report(Link, std::move(Report));
}

void instance_gate::cancel(const run_cancel &Cancel, instant Now) {
  const auto Found = Runs.find(Cancel.Attempt);
  if (Found == Runs.end())
    return;
  if (!Found->second.IsRunning) {
    if (Admission)
      Admission->cancel(Cancel.Attempt);
    return refuse(Cancel.Attempt, run_cause::Cancelled, Now);
  }
  if (!Cancel.AbortsRunning)
    return;
  abort(Cancel.Attempt, run_cause::Cancelled, Now);
}

void instance_gate::abort(const attempt_id &Attempt, run_cause Cause,
                          instant Now) {
  Port.abortInstance(Attempt);
  instance_result Result;
  Result.Outcome = run_outcome::Unknown;
  Result.Cause = Cause;
  Result.ReachedInstance = true;
  instanceEnded(Attempt, std::move(Result), Now);
}

void instance_gate::abandon(const attempt_id &Attempt, instant Now) {
  const auto Found = Runs.find(Attempt);
  if (Found == Runs.end())
    return;
  if (Found->second.IsRunning)
    return abort(Attempt, run_cause::NoValidResponse, Now);
  if (Admission)
    Admission->cancel(Attempt);
  refuse(Attempt, run_cause::NoInstance, Now);
}

void instance_gate::endAll(instant Now) {
  refuseFrom(Now);
  if (Admission && !Admission->isDraining())
    applyActions(Admission->drain(Now), Now);
  std::vector<attempt_id> Running;
  for (const auto &[Attempt, Run] : Runs)
    Running.push_back(Attempt);
  for (const attempt_id &Attempt : Running)
    abort(Attempt, run_cause::LinkLost, Now);
}

void instance_gate::instanceEnded(const attempt_id &Attempt,
                                  instance_result Result, instant Now) {
  if (Result.Cause == run_cause::Unreachable)
    UnreachableUntil = Now + Settings.UnreachableBackoff;
  if (Result.Notice)
    applyNotice(Attempt, *Result.Notice, Now);
  gate_actions Next;
  if (Admission)
    Next = Admission->complete(Attempt, workOf(Result), Now);
  finish(Attempt, std::move(Result), Now);
  applyActions(Next, Now);
}

/// A response may arrive after the next run of the instance has registered: it
/// says nothing about that one.
void instance_gate::applyNotice(const attempt_id &Attempt,
                                const instance_notice &Notice, instant Now) {
  const auto Found = Runs.find(Attempt);
  const auto &Current = Registration.current();
  if (Found == Runs.end() || !Current)
    return;
  const instance_run Run = Found->second.Instance;
  if (Run != instance_run{Current->Instance, Current->StartedAt})
    return;
  limitStarts(Notice.StartsPerSecond, Now);
  if (!Notice.IsLeaving || Registration.hasDeparted(Run))
    return;
  log().info("instance says that it is leaving", {{"instance", Run.Instance}});
  Registration.deregister(Run.Instance, Run.StartedAt);
  instanceChanged(Now);
}

void instance_gate::limitStarts(std::optional<double> PerSecond, instant Now) {
  if (StartsPerSecond != PerSecond)
    log().info("instance changes its limit",
               {{"instance", Instance},
                {"per_second", PerSecond ? std::to_string(*PerSecond)
                                         : std::string("(none)")}});
  StartsPerSecond = PerSecond;
  if (Admission)
    Admission->limitStarts(PerSecond, Now);
}

/// A limit that the instance named before this process started has to be
/// learned from its first response.
std::unique_ptr<concurrency_limiter> instance_gate::makeLimiter() {
  if (std::exchange(HadInstance, true))
    return std::make_unique<static_limiter>(Slots);
  return std::make_unique<first_answer_limiter>(Slots);
}

void instance_gate::instanceChanged(instant Now) {
  const instance_report *Ready = Registration.ready();
  if (Ready == nullptr) {
    if (Admission && !Admission->isDraining())
      applyActions(Admission->drain(Now), Now);
    return;
  }
  if (Admission && Ready->Instance == Instance && Ready->Slots == Slots &&
      !Admission->isDraining())
    return;
  if (Admission)
    applyActions(Admission->drain(Now), Now);
  if (Ready->Instance != Instance)
    StartsPerSecond.reset();
  Instance = Ready->Instance;
  Slots = Ready->Slots;
  UnreachableUntil = instant();
  Downstream = std::make_unique<downstream_limiter>(Settings.Downstream, Slots);
  Admission =
      std::make_unique<admission_gate>(Settings.Admission, makeLimiter());
  Admission->limitStarts(StartsPerSecond, Now);
}

void instance_gate::passTime(instant Now) {
  if (Admission)
    applyActions(Admission->expire(Now), Now);
}

std::optional<instant> instance_gate::nextWake() const {
  return Admission ? Admission->nextWake() : std::nullopt;
}

gate_status instance_gate::status(instant Now) const {
  gate_status Status;
  if (Registration.ready() != nullptr && Admission)
    Status.Instance = Instance;
  if (Admission) {
    Status.Running = static_cast<std::uint32_t>(Admission->running());
    Status.Queued = static_cast<std::uint32_t>(Admission->queued());
    Status.Limit = static_cast<std::uint32_t>(Admission->usableSlots());
  }
  Status.IsReachable = Now >= UnreachableUntil;
  return Status;
}

} // namespace clementine::proxy
