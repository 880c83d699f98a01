#include "clementine_request/entry/entry_service.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace clementine {

namespace {

/// The maximum length of an idempotency key sent by a caller, in bytes.
constexpr std::size_t MaxCallerKeyBytes = 128;
/// Upstream answers with this status or above count as failures for routing.
constexpr std::uint16_t FirstFailureStatus = 500;

std::string targetOf(const caller_request &Request) {
  return Request.Service + "." + Request.Operation;
}

refusal refusalOf(policy_error Error) {
  return Error == policy_error::UnknownCaller ? refusal::UnknownCaller
                                              : refusal::UnknownOperation;
}

} // namespace

entry_service::entry_service(entry_service_settings Settings, entry_ports Ports,
                             gate_service &Gate, random_source &Random)
    : Settings(std::move(Settings)), Ports(Ports), Gate(Gate), Random(Random),
      Links(this->Settings.Self.Name, Ports.Peers),
      Directory(std::make_shared<service_directory>()),
      Sampler(this->Settings.SampleShare) {}

void entry_service::setBundle(std::shared_ptr<const bundle> Accepted) {
  Bundle = std::move(Accepted);
}

void entry_service::setDirectory(std::shared_ptr<const service_directory> View,
                                 instant Now) {
  Directory = std::move(View);
  for (auto &[Service, Known] : Routes) {
    std::vector<route_candidate> Candidates;
    for (const service_instance &Instance : Directory->instancesOf(Service))
      Candidates.push_back(Instance.Candidate);
    Known->Chooser.setCandidates(Candidates, Now);
  }
  const auto Current = Calls;
  for (const auto &[Id, Call] : Current)
    if (Call->Phase == call_phase::AwaitingInstance &&
        !Directory->instancesOf(Call->Source.Service).empty())
      resume(Call, Now);
}

// Accepting requests.

void entry_service::request(caller_request Request, instant Now) {
  auto Call = std::make_shared<entry_call>();
  Call->Source = std::move(Request);
  Call->ArrivedAt = Now;
  Calls[Call->Source.Call] = Call;
  refusal Reason = refusal::NodeBusy;
  if (Calls.size() <= Settings.MaxCalls)
    Reason = Call->Source.Parent ? prepareSubCall(*Call, Now)
                                 : prepareRoot(*Call, Now);
  trace(*Call);
  Call->IsSurelyFirst =
      Call->Context.Key.empty() || Call->Context.Send == send_number::First;
  if (Reason == refusal::None && isRefusedEarly(*Call, Now))
    Reason = refusal::Overloaded;
  if (Reason != refusal::None)
    finish(Call, run_outcome::NotRun, Reason, {}, Now);
  else
    begin(Call, Now);
}

refusal entry_service::prepareRoot(entry_call &Call, instant Now) {
  const caller_request &Source = Call.Source;
  Call.Context.Request = {Random.next(), Random.next()};
  Call.Context.Caller = Source.Caller;
  Call.Context.TraceParent = Source.TraceParent;
  Call.Context.Send = Source.Send;
  // The prefix prevents collisions between the keys of different callers.
  if (!Source.Key.empty())
    Call.Context.Key =
        Source.Caller + "/" + targetOf(Source) + "/" + Source.Key;
  if (!Bundle)
    return refusal::NoBundle;
  if (Source.Key.size() > MaxCallerKeyBytes)
    return refusal::Malformed;
  const auto Policy =
      Bundle->decide(Source.Caller, Source.Service, Source.Operation);
  if (Policy.has_error())
    return refusalOf(Policy.error());
  Call.Repeatable = Policy.value().Repeatable;
  Call.Cost = Policy.value().Cost;
  Call.Context.Importance = Policy.value().Importance;
  Call.Budget = retry_budget(Policy.value().RetryBudget);
  Call.BudgetAtStart = Policy.value().RetryBudget;
  const duration Allowed = Policy.value().Deadline;
  Call.Deadline = Now + std::min(Allowed, Source.Timeout.value_or(Allowed));
  if (!Source.Key.empty())
    return refusal::None;
  if (!Call.Repeatable)
    return refusal::KeyRequired;
  // No re-send can carry a key that this node has just generated.
  Call.Context.Key = Call.Context.Request.text();
  Call.Context.Send = send_number::First;
  return refusal::None;
}

refusal entry_service::prepareSubCall(entry_call &Call, instant Now) {
  const caller_request &Source = Call.Source;
  const auto Parent =
      Gate.beginSubCall(*Source.Parent, targetOf(Source), Source.Key, Now);
  if (!Parent) {
    Call.Source.Parent.reset();
    return refusal::Cancelled;
  }
  Call.Context = Parent->Context;
  if (!Source.TraceParent.empty())
    Call.Context.TraceParent = Source.TraceParent;
  Call.Budget = retry_budget(Parent->Context.RetryBudget);
  Call.BudgetAtStart = Parent->Context.RetryBudget;
  Call.Deadline = Parent->Deadline;
  if (Source.Timeout)
    Call.Deadline = std::min(Call.Deadline, Now + *Source.Timeout);
  if (!Bundle)
    return refusal::NoBundle;
  if (Call.Context.Depth > Settings.MaxDepth)
    return refusal::Malformed;
  const auto Policy =
      Bundle->decide(Call.Context.Caller, Source.Service, Source.Operation);
  if (Policy.has_error())
    return refusalOf(Policy.error());
  Call.Repeatable = Policy.value().Repeatable;
  return refusal::None;
}

void entry_service::trace(entry_call &Call) {
  Call.Trace = traceHop(Call.Context.TraceParent, Sampler, Random);
  Call.Context.TraceParent = formatTraceparent(Call.Trace.Own);
}

bool entry_service::isRefusedEarly(const entry_call &Call, instant Now) {
  // A re-send is only looked up, which puts no load on the upstream.
  if (!Call.Repeatable && Call.Context.Send == send_number::Again)
    return false;
  return Hints.decide(targetOf(Call.Source), rankOfCall(Call), Now) ==
         hint_verdict::RefusedEarly;
}

void entry_service::begin(const call_pointer &Call, instant Now) {
  if (Call->Repeatable || Call->Context.Send == send_number::First)
    sendNext(Call, Now);
  else if (Call->Context.Send == send_number::Again)
    lookUp(Call, Now);
  else
    claimNext(Call, Now);
}

// Ending calls.

void entry_service::handleCallerDisconnect(call_id Id, instant Now) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  finish(call_pointer(Found->second), run_outcome::Unknown, refusal::Cancelled,
         {}, Now);
}

void entry_service::processTimeouts(instant Now) {
  std::vector<call_pointer> Late;
  std::vector<call_pointer> Unrouted;
  std::vector<std::pair<call_pointer, request_id>> Lost;
  for (const auto &[Id, Call] : Calls) {
    if (Now >= Call->Deadline + Settings.AnswerGrace) {
      Late.push_back(Call);
      continue;
    }
    if (Call->Phase == call_phase::AwaitingInstance &&
        Now >= Call->InstanceWaitEnd)
      Unrouted.push_back(Call);
    for (entry_attempt &Attempt : Call->Attempts) {
      if (Attempt.State != attempt_state::Lost)
        continue;
      if (Now - Attempt.LostAt >= Settings.LostConnectionTimeout)
        Lost.emplace_back(Call, Attempt.Run);
      else if (Attempt.Link == NoLink && Now >= Attempt.RedialAt)
        Attempt.Link = Links.linkTo(Attempt.Node.Name, Attempt.Remote);
    }
  }
  for (const call_pointer &Call : Late)
    endAtDeadline(Call, Now);
  for (const call_pointer &Call : Unrouted)
    finish(Call, run_outcome::NotRun, refusal::NoUpstream, {}, Now);
  for (const auto &[Call, Run] : Lost)
    if (findAttempt(*Call, Run) != nullptr)
      abandonAttempt(Call, Run, refusal::ConnectionLost, Now);
}

void entry_service::endAtDeadline(const call_pointer &Call, instant Now) {
  const bool WasSent = !Call->Attempts.empty();
  finish(Call, WasSent ? run_outcome::Unknown : run_outcome::NotRun,
         refusal::DeadlinePassed, {}, Now);
}

void entry_service::finish(const call_pointer &Call, run_outcome Outcome,
                           refusal Reason, const http_answer &Answer,
                           instant Now) {
  const caller_request &Source = Call->Source;
  if (Calls.erase(Source.Call) == 0)
    return;
  for (const entry_attempt &Attempt : Call->Attempts) {
    CallByRun.erase(Attempt.Run);
    if (Attempt.IsLookUp)
      continue;
    routesOf(Source.Service, Now).Chooser.onNoAnswer(Attempt.Node, Now);
    Ports.Peers.sendOn(Attempt.Link, run_cancel{Attempt.Run});
  }
  Call->Attempts.clear();
  if (Outcome == run_outcome::NotRun &&
      (Call->MayHaveRun || !Call->IsSurelyFirst))
    Outcome = run_outcome::Unknown;
  if (Source.Parent) {
    sub_call_result End;
    End.LentBudget = Call->BudgetAtStart;
    End.UnusedBudget = Call->Budget.left();
    End.IsCompleted = Outcome == run_outcome::Completed;
    End.PathLevel = Call->PathLevel;
    Gate.endSubCall(*Source.Parent, End, Now);
  }
  entry_report Report;
  Report.Request = Call->Context.Request;
  Report.Caller = Call->Context.Caller;
  Report.Service = Source.Service;
  Report.Operation = Source.Operation;
  Report.Trace = Call->Trace;
  Report.Importance = Call->Context.Importance;
  Report.Depth = Call->Context.Depth;
  Report.Cost = Call->Cost;
  Report.Outcome = Outcome;
  Report.Reason = Reason;
  Report.Status = Answer.Status;
  Report.Attempts = Call->AttemptsSent;
  Report.Taken = Now - Call->ArrivedAt;
  Ports.Observer.callEnded(Report);
  Ports.Callers.answerCaller(
      {Source.Call, Call->Context.Request, Outcome, Reason, Answer});
}

void entry_service::updateRouting(const entry_call &Call,
                                  const entry_attempt &Attempt,
                                  const run_answer &Answer, instant Now) {
  answer_kind Kind = answer_kind::Refused;
  if (Answer.Outcome == run_outcome::Completed)
    Kind = Answer.Answer.Status < FirstFailureStatus ? answer_kind::Completed
                                                     : answer_kind::Failed;
  else if (Answer.Outcome == run_outcome::Unknown)
    Kind = answer_kind::Failed;
  routesOf(Call.Source.Service, Now)
      .Chooser.onAnswer(Attempt.Node, Kind, Now - Attempt.SentAt,
                        admission_level::fromIndex(Answer.AdmissionLevel), Now);
  const auto PathLevel = admission_level::fromIndex(Answer.PathLevel);
  Hints.learn(targetOf(Call.Source), PathLevel, Now);
}

entry_service::call_pointer
entry_service::findByRun(const request_id &Run) const {
  const auto Found = CallByRun.find(Run);
  if (Found == CallByRun.end())
    return nullptr;
  return Calls.at(Found->second);
}

std::vector<std::pair<entry_service::call_pointer, request_id>>
entry_service::attemptsOn(link_id Link) const {
  std::vector<std::pair<call_pointer, request_id>> Found;
  for (const auto &[Id, Call] : Calls)
    for (const entry_attempt &Attempt : Call->Attempts)
      if (Attempt.Link == Link)
        Found.emplace_back(Call, Attempt.Run);
  return Found;
}

entry_attempt *entry_service::findAttempt(entry_call &Call,
                                          const request_id &Run) {
  for (entry_attempt &Attempt : Call.Attempts)
    if (Attempt.Run == Run)
      return &Attempt;
  return nullptr;
}

entry_attempt entry_service::removeAttempt(entry_call &Call,
                                           const request_id &Run) {
  const entry_attempt *Found = findAttempt(Call, Run);
  assert(Found != nullptr && "an attempt in CallByRun belongs to its call");
  entry_attempt Removed = *Found;
  std::erase_if(Call.Attempts, [&](const entry_attempt &Attempt) {
    return Attempt.Run == Run;
  });
  CallByRun.erase(Run);
  return Removed;
}

entry_service::service_routes &
entry_service::routesOf(const std::string &Service, instant Now) {
  auto &Known = Routes[Service];
  if (Known)
    return *Known;
  route_settings Wanted;
  Wanted.OwnName = Settings.Self.Name;
  Wanted.OwnDataCentre = Settings.DataCentre;
  Known = std::make_unique<service_routes>(Wanted, Settings.Throttle, Random);
  std::vector<route_candidate> Candidates;
  for (const service_instance &Instance : Directory->instancesOf(Service))
    Candidates.push_back(Instance.Candidate);
  Known->Chooser.setCandidates(Candidates, Now);
  return *Known;
}

admission_rank entry_service::rankOfCall(const entry_call &Call) const {
  return rankOf(Call.Context.Importance, wholeRequestHash(Call.Context.Request),
                Call.Context.WorkDone);
}

} // namespace clementine
