#include "clementine_request/gate/gate_service.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace clementine {

namespace {

/// The maximum length of a derived key in bytes; a longer one is replaced by a
/// hash.
constexpr std::size_t MaxPlainKeyBytes = 256;

refusal refusalOf(refusal_reason Reason) {
  switch (Reason) {
  case refusal_reason::QueueFull:
  case refusal_reason::BelowLevel:
    return refusal::Overloaded;
  case refusal_reason::Displaced:
    return refusal::Displaced;
  case refusal_reason::DeadlineTooClose:
    return refusal::DeadlinePassed;
  case refusal_reason::Draining:
    return refusal::Leaving;
  case refusal_reason::AlreadyPresent:
    break;
  }
  return refusal::Malformed;
}

work_outcome outcomeOf(const upstream_result &Result, bool IsCancelled) {
  if (IsCancelled)
    return work_outcome::Cancelled;
  switch (Result.End) {
  case upstream_outcome::Answered:
    return work_outcome::Completed;
  case upstream_outcome::Refused:
  case upstream_outcome::NotSent:
    return work_outcome::Shed;
  case upstream_outcome::Broken:
    break;
  }
  return work_outcome::Failed;
}

/// Replaces a long derived key by a 128-bit hash, so that distinct keys stay
/// distinct.
std::string boundedKey(std::string Key) {
  if (Key.size() <= MaxPlainKeyBytes)
    return Key;
  const std::string Salted = Key + "#";
  return "h:" + request_id{stableHash(Key), stableHash(Salted)}.text();
}

run_answer emptyAnswer(run_outcome Outcome, refusal Reason) {
  run_answer Answer;
  Answer.Outcome = Outcome;
  Answer.Reason = Reason;
  Answer.PathLevel = static_cast<std::uint32_t>(admission_level{}.index());
  return Answer;
}

} // namespace

gate_service::gate_service(gate_service_settings Settings, admission_gate &Gate,
                           run_ledger &Ledger, upstream_port &Upstream,
                           peer_port &Peers, gate_observer &Observer,
                           random_source &Random)
    : Settings(Settings), Gate(Gate), Ledger(Ledger), Upstream(Upstream),
      Peers(Peers), Observer(Observer), Random(Random) {}

void gate_service::run(link_id Link, run_request Request, instant Now) {
  const run_address From{Link, Request.Run};
  if (Service.empty() || Request.Service != Service) {
    reply(From, emptyAnswer(run_outcome::NotRun, refusal::NoUpstream));
    return;
  }
  const std::string Key = Request.Repeatable ? "" : Request.Context.Key;
  if (!Request.Repeatable && Key.empty()) {
    reply(From, emptyAnswer(run_outcome::NotRun, refusal::KeyRequired));
    return;
  }
  switch (Ledger.begin(Request.Run, Key, Request.Claim)) {
  case begin_verdict::Run:
    break;
  case begin_verdict::Join:
  case begin_verdict::Ended:
    join(Link, Request.Run, Key.empty() ? Request.Run : *Ledger.runOfKey(Key));
    return;
  case begin_verdict::Fenced:
    reply(From, emptyAnswer(run_outcome::NotRun, refusal::Fenced));
    return;
  case begin_verdict::Full:
    reply(From, emptyAnswer(run_outcome::NotRun, refusal::LedgerFull));
    return;
  case begin_verdict::Expired:
    reply(From, emptyAnswer(run_outcome::Unknown, refusal::NoRecord));
    return;
  }
  auto Run = std::make_shared<active_run>();
  Run->ArrivedAt = Now;
  Run->Deadline =
      Now + std::chrono::microseconds(Request.Context.RemainingMicroseconds);
  Run->Waiting.push_back(From);
  Run->Budget = retry_budget(Request.Context.RetryBudget);
  Run->Request = std::move(Request);
  Run->Trace = traceHop(Run->Request.Context.TraceParent, Sampler, Random);
  Run->Request.Context.TraceParent = formatTraceparent(Run->Trace.Own);
  Runs[Run->Request.Run] = Run;
  admit(Run, Now);
}

void gate_service::admit(const run_pointer &Run, instant Now) {
  const offer_decision Decision = Gate.offer(ticketOf(*Run), Now);
  if (Decision.Verdict == offer_verdict::Admitted)
    start(Run, Now);
  else if (Decision.Verdict == offer_verdict::Refused)
    refuse(Run, refusalOf(Decision.Reason), Now);
  applyActions(Decision.Others, Now);
}

admission_ticket gate_service::ticketOf(const active_run &Run) const {
  const request_context &Context = Run.Request.Context;
  return {Run.Request.Run, Context.Importance,
          wholeRequestHash(Context.Request), Context.WorkDone, Run.Deadline};
}

void gate_service::applyActions(const gate_actions &Actions, instant Now) {
  for (const refused_ticket &Refused : Actions.Refused)
    if (const auto Found = Runs.find(Refused.Ticket.RequestId);
        Found != Runs.end())
      refuse(run_pointer(Found->second), refusalOf(Refused.Reason), Now);
  for (const admission_ticket &Ticket : Actions.Started)
    if (const auto Found = Runs.find(Ticket.RequestId); Found != Runs.end())
      start(run_pointer(Found->second), Now);
}

void gate_service::start(const run_pointer &Run, instant Now) {
  Run->StartedAt = Now;
  Run->Token = {Random.next(), Random.next()};
  ByToken[Run->Token] = Run;
  upstream_call Call;
  Call.Token = Run->Token;
  Call.Operation = Run->Request.Operation;
  Call.Context = Run->Request.Context;
  const duration Left = std::max(Run->Deadline - Now, duration::zero());
  Call.Context.RemainingMicroseconds = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(Left).count());
  Call.Payload = std::move(Run->Request.Payload);
  Call.Timeout = Left;
  if (!Run->Request.Repeatable)
    Call.Timeout += Settings.ResendGracePeriod;
  Upstream.callUpstream(std::move(Call));
}

void gate_service::query(link_id Link, const run_query &Query, instant Now) {
  (void)Now;
  const run_address From{Link, Query.Run};
  if (Query.Key.empty()) {
    if (Ledger.fence(Query.Run) ||
        !(Ledger.isRunning(Query.Run) || Ledger.answer(Query.Run) != nullptr)) {
      reply(From, emptyAnswer(run_outcome::NotRun, refusal::Fenced));
      return;
    }
    join(Link, Query.Run, Ledger.holderOf(Query.Run));
    return;
  }
  if (const request_id *Holder = Ledger.runOfKey(Query.Key)) {
    join(Link, Query.Run, *Holder);
    return;
  }
  if (Query.Claim != 0 && Ledger.fenceClaim(Query.Key, Query.Claim))
    reply(From, emptyAnswer(run_outcome::NotRun, refusal::Fenced));
  else
    Peers.sendOn(Link, run_not_found{Query.Run});
}

void gate_service::join(link_id Link, const request_id &Attempt,
                        const request_id &Holder) {
  Ledger.join(Attempt, Holder);
  const run_address From{Link, Attempt};
  if (const run_answer *Known = Ledger.answer(Holder)) {
    reply(From, *Known);
    return;
  }
  const auto Found = Runs.find(Holder);
  assert(Found != Runs.end() &&
         "a run in progress in the ledger must be in Runs");
  auto &Waiting = Found->second->Waiting;
  // A sender that repeats its query over a new link gets the answer only there.
  std::erase_if(Waiting,
                [&](const run_address &Known) { return Known.Run == Attempt; });
  Waiting.push_back(From);
}

void gate_service::cancel(const run_cancel &Cancel, instant Now) {
  const request_id Holder = Ledger.holderOf(Cancel.Run);
  const auto Found = Runs.find(Holder);
  if (Found == Runs.end())
    return;
  const run_pointer Run = Found->second;
  std::erase_if(Run->Waiting, [&](const run_address &Known) {
    return Known.Run == Cancel.Run;
  });
  if (!Run->Waiting.empty())
    return;
  if (Gate.cancel(Holder) == cancel_result::Removed) {
    refuse(Run, refusal::Cancelled, Now);
    return;
  }
  // A non-repeatable run continues, so that a re-send can get its answer.
  if (!Run->Request.Repeatable || Run->IsCancelled)
    return;
  Run->IsCancelled = true;
  Upstream.cancelUpstream(Run->Token);
}

void gate_service::upstreamCallEnded(const upstream_result &Result,
                                     instant Now) {
  const auto Found = ByToken.find(Result.Token);
  if (Found == ByToken.end())
    return;
  const run_pointer Run = Found->second;
  ByToken.erase(Found);
  if (Run->OpenSubCalls > 0)
    Run->SubCallTime += Now - Run->SubCallsSince;
  finish(Run, answerOf(*Run, Result), Now);
  const work_result Work{outcomeOf(Result, Run->IsCancelled), Run->SubCallTime};
  applyActions(Gate.complete(Run->Request.Run, Work, Now), Now);
}

run_answer gate_service::answerOf(const active_run &Run,
                                  const upstream_result &Result) const {
  run_answer Answer;
  Answer.ReturnedBudget = Run.Budget.left();
  switch (Result.End) {
  case upstream_outcome::Answered:
    Answer.Outcome = run_outcome::Completed;
    Answer.Answer = Result.Answer;
    break;
  case upstream_outcome::Refused:
    // An upstream that has made sub-calls has run the request, even if it
    // reports a refusal.
    Answer.Outcome = Run.SubCallsByTarget.empty() ? run_outcome::NotRun
                                                  : run_outcome::Unknown;
    Answer.Reason = refusal::UpstreamRefused;
    break;
  case upstream_outcome::NotSent:
    Answer.Outcome = run_outcome::NotRun;
    Answer.Reason = refusal::UpstreamUnreachable;
    break;
  case upstream_outcome::Broken:
    Answer.Outcome = run_outcome::Unknown;
    Answer.Reason =
        Run.IsCancelled ? refusal::Cancelled : refusal::ConnectionLost;
    break;
  }
  return Answer;
}

void gate_service::refuse(const run_pointer &Run, refusal Reason, instant Now) {
  run_answer Answer = emptyAnswer(run_outcome::NotRun, Reason);
  Answer.ReturnedBudget = Run->Budget.left();
  finish(Run, Answer, Now);
}

void gate_service::finish(const run_pointer &Run, run_answer Answer,
                          instant Now) {
  Answer.Run = Run->Request.Run;
  Answer.PathLevel = static_cast<std::uint32_t>(Run->SubCallLevel.index());
  Ledger.end(Run->Request.Run, Answer);
  Runs.erase(Run->Request.Run);
  const instant Started = Run->StartedAt.value_or(Now);
  Observer.runEnded(Run->Request, Answer, Run->Trace, Started - Run->ArrivedAt,
                    Now - Started);
  for (const run_address &To : Run->Waiting)
    reply(To, Answer);
}

void gate_service::reply(run_address To, run_answer Answer) {
  Answer.Run = To.Run;
  Answer.AdmissionLevel = static_cast<std::uint32_t>(Gate.level().index());
  Answer.PathLevel = std::min(Answer.PathLevel, Answer.AdmissionLevel);
  Answer.Leaving = Gate.isDraining();
  Peers.sendOn(To.Link, std::move(Answer));
}

void gate_service::processTimeouts(instant Now) {
  Ledger.advanceTime(Now);
  applyActions(Gate.expire(Now), Now);
  cancelLateRuns(Now);
}

void gate_service::cancelLateRuns(instant Now) {
  for (const auto &[Id, Run] : Runs) {
    if (Now <= Run->Deadline || !Run->StartedAt || Run->IsCancelled ||
        !Run->Request.Repeatable)
      continue;
    Run->IsCancelled = true;
    Upstream.cancelUpstream(Run->Token);
  }
}

void gate_service::drain(instant Now) { applyActions(Gate.drain(Now), Now); }

std::optional<sub_call_context>
gate_service::beginSubCall(const request_id &Token, const std::string &Target,
                           const std::string &OwnKey, instant Now) {
  const auto Found = ByToken.find(Token);
  if (Found == ByToken.end())
    return std::nullopt;
  active_run &Run = *Found->second;
  if (Run.OpenSubCalls++ == 0)
    Run.SubCallsSince = Now;
  const unsigned Ordinal = Run.SubCallsByTarget[Target]++;
  sub_call_context Child;
  Child.Context = Run.Request.Context;
  Child.Deadline = Run.Deadline;
  request_context &Context = Child.Context;
  const std::string Suffix = OwnKey.empty() ? std::to_string(Ordinal) : OwnKey;
  Context.Key = boundedKey(Context.Key + "/" + Target + "/" + Suffix);
  Context.Depth = static_cast<std::uint8_t>(Context.Depth + 1);
  Context.WorkDone += 1 + Run.CompletedSubCalls;
  Context.RetryBudget = Run.Budget.allocate();
  return Child;
}

void gate_service::endSubCall(const request_id &Token,
                              const sub_call_result &End, instant Now) {
  const auto Found = ByToken.find(Token);
  if (Found == ByToken.end())
    return;
  active_run &Run = *Found->second;
  Run.Budget.reclaim(End.LentBudget, End.UnusedBudget);
  Run.CompletedSubCalls += End.IsCompleted ? 1 : 0;
  Run.SubCallLevel = std::min(Run.SubCallLevel, End.PathLevel);
  assert(Run.OpenSubCalls > 0 && "a sub-call must end only once");
  if (--Run.OpenSubCalls == 0)
    Run.SubCallTime += Now - Run.SubCallsSince;
}

} // namespace clementine
