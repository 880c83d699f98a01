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
/// The delay before the next attempt to connect to a lost node.
constexpr std::chrono::milliseconds RedialDelay{50};

std::string targetOf(const caller_request &Request) {
  return Request.Service + "." + Request.Operation;
}

/// @returns whether no retry at another node could succeed.
bool isFinal(refusal Reason) {
  return Reason == refusal::Malformed || Reason == refusal::KeyRequired ||
         Reason == refusal::DeadlinePassed || Reason == refusal::Cancelled;
}

bool isSameRun(const node_identity &Left, const node_identity &Right) {
  return Left.Name == Right.Name && incarnationAtStart(Left.Incarnation) ==
                                        incarnationAtStart(Right.Incarnation);
}

refusal refusalOf(policy_error Error) {
  return Error == policy_error::UnknownCaller ? refusal::UnknownCaller
                                              : refusal::UnknownOperation;
}

std::uint64_t microsecondsUntil(instant Deadline, instant Now) {
  const duration Left = std::max(Deadline - Now, duration::zero());
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(Left).count());
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

// Sending.

void entry_service::sendNext(const call_pointer &Call, instant Now) {
  refusal Failure = refusal::None;
  const service_instance *Instance = choose(*Call, Failure, Now);
  if (Instance == nullptr) {
    if (!awaitInstance(Call, Failure, Now))
      finish(Call, run_outcome::NotRun, Failure, {}, Now);
    return;
  }
  sendRun(Call, *Instance, Now);
}

void entry_service::resume(const call_pointer &Call, instant Now) {
  if (Call->Claim != 0 || Call->AttemptsSent > 0)
    return;
  Call->Phase = call_phase::Running;
  begin(Call, Now);
}

bool entry_service::awaitInstance(const call_pointer &Call, refusal Failure,
                                  instant Now) {
  if (Failure != refusal::NoUpstream || Call->Claim != 0 ||
      Call->AttemptsSent > 0)
    return false;
  if (Call->InstanceWaitEnd == instant{})
    Call->InstanceWaitEnd = Now + Settings.InstanceWaitTimeout;
  Call->Phase = call_phase::AwaitingInstance;
  return true;
}

const service_instance *entry_service::choose(const entry_call &Call,
                                              refusal &Failure, instant Now) {
  const std::string &Service = Call.Source.Service;
  route_chooser &Chooser = routesOf(Service, Now).Chooser;
  const auto &Instances = Directory->instancesOf(Service);
  route_request Wanted{rankOfCall(Call), Call.Tried};
  // A first send of a key goes to one of the nodes that a re-send would query.
  if (!Call.Repeatable && Call.Context.Send == send_number::First &&
      Call.Claim == 0) {
    auto Order = rendezvousOrder(Instances, Call.Context.Key, Instances.size());
    for (std::size_t Rank = Settings.KeyNodeCount; Rank < Order.size(); ++Rank)
      Wanted.Excluded.push_back(Order[Rank].Candidate.Node.Name);
  }
  auto Choice = Chooser.choose(Wanted, Now);
  if (Choice.has_error() && Wanted.Excluded != Call.Tried) {
    Wanted.Excluded = Call.Tried;
    Choice = Chooser.choose(Wanted, Now);
  }
  if (Choice.has_value())
    return Directory->find(Service, Choice.value().Node.Name);
  Failure = Call.LastRefusal;
  if (Choice.error() == route_failure::NoInstance)
    Failure = refusal::NoUpstream;
  else if (Choice.error() == route_failure::AllWouldRefuse)
    Failure = refusal::Overloaded;
  return nullptr;
}

void entry_service::sendRun(const call_pointer &Call,
                            const service_instance &Instance, instant Now) {
  entry_attempt Attempt;
  Attempt.Run = {Random.next(), Random.next()};
  Attempt.Node = Instance.Candidate.Node;
  Attempt.Remote = Instance.Peer;
  Attempt.SentAt = Now;
  Attempt.LentBudget = Call->Budget.allocate();
  Attempt.Link = Links.linkTo(Attempt.Node.Name, Attempt.Remote);
  service_routes &Service = routesOf(Call->Source.Service, Now);
  if (++Call->AttemptsSent == 1)
    Service.Throttle.onFirstAttempt();
  Service.Chooser.onSend(Attempt.Node, Now);
  run_request Request;
  Request.Run = Attempt.Run;
  Request.Context = Call->Context;
  Request.Context.RemainingMicroseconds =
      microsecondsUntil(Call->Deadline, Now);
  Request.Context.RetryBudget = Attempt.LentBudget;
  Request.Service = Call->Source.Service;
  Request.Operation = Call->Source.Operation;
  Request.Repeatable = Call->Repeatable;
  Request.Claim = Call->Claim;
  Request.Payload = Call->Source.Payload;
  Call->Phase = call_phase::Running;
  Call->Attempts.push_back(Attempt);
  CallByRun[Attempt.Run] = Call->Source.Call;
  Ports.Peers.sendOn(Attempt.Link, std::move(Request));
}

// Claims and look-ups.

void entry_service::claimNext(const call_pointer &Call, instant Now) {
  refusal Failure = refusal::None;
  const service_instance *Instance = choose(*Call, Failure, Now);
  if (Instance == nullptr) {
    if (!awaitInstance(Call, Failure, Now))
      finish(Call, run_outcome::NotRun, Failure, {}, Now);
    return;
  }
  claim_request Request;
  Request.Call = Call->Source.Call;
  Request.Key = Call->Context.Key;
  Request.Gate = Instance->Candidate.Node;
  Request.Gate.Incarnation = incarnationAtStart(Request.Gate.Incarnation);
  Request.Replaces = Call->Claim;
  Call->ClaimGate = Request.Gate;
  Call->Phase = call_phase::Claiming;
  Ports.Claims.requestClaim(std::move(Request));
}

void entry_service::handleClaimResult(const claim_result &Result, instant Now) {
  const auto Found = Calls.find(Result.Call);
  if (Found == Calls.end() || Found->second->Phase != call_phase::Claiming)
    return;
  const call_pointer Call = Found->second;
  if (Result.Status == claim_status::Unavailable) {
    finish(Call, run_outcome::NotRun, refusal::ClaimUnavailable, {}, Now);
    return;
  }
  Call->Claim = Result.Claim;
  if (Result.Status == claim_status::Held) {
    Call->ClaimGate = Result.Gate;
    lookUpClaim(Call, Now);
    return;
  }
  Call->Context.Send = send_number::First;
  const service_instance *Instance =
      Directory->find(Call->Source.Service, Call->ClaimGate.Name);
  if (Instance == nullptr ||
      !isSameRun(Instance->Candidate.Node, Call->ClaimGate)) {
    // The gate has left in the meantime. Nothing was sent to it, so another
    // gate can be claimed.
    Call->Tried.push_back(Call->ClaimGate.Name);
    Call->LastRefusal = refusal::NodeUnreachable;
    claimNext(Call, Now);
    return;
  }
  sendRun(Call, *Instance, Now);
}

void entry_service::lookUpClaim(const call_pointer &Call, instant Now) {
  const service_instance *Instance =
      Directory->find(Call->Source.Service, Call->ClaimGate.Name);
  if (Instance == nullptr) {
    finish(Call, run_outcome::Unknown, refusal::NodeUnreachable, {}, Now);
    return;
  }
  lookUpAt(Call, *Instance, Now);
}

void entry_service::lookUp(const call_pointer &Call, instant Now) {
  const auto KeyNodes =
      rendezvousOrder(Directory->instancesOf(Call->Source.Service),
                      Call->Context.Key, Settings.KeyNodeCount);
  if (KeyNodes.empty()) {
    if (!awaitInstance(Call, refusal::NoUpstream, Now))
      finish(Call, run_outcome::Unknown, refusal::NoRecord, {}, Now);
    return;
  }
  for (const service_instance &Instance : KeyNodes)
    lookUpAt(Call, Instance, Now);
}

void entry_service::lookUpAt(const call_pointer &Call,
                             const service_instance &Instance, instant Now) {
  entry_attempt Attempt;
  Attempt.Run = {Random.next(), Random.next()};
  Attempt.Node = Instance.Candidate.Node;
  Attempt.Remote = Instance.Peer;
  Attempt.SentAt = Now;
  Attempt.IsLookUp = true;
  Attempt.Link = Links.linkTo(Attempt.Node.Name, Attempt.Remote);
  Call->Phase = call_phase::LookingUp;
  Call->Attempts.push_back(Attempt);
  CallByRun[Attempt.Run] = Call->Source.Call;
  Ports.Peers.sendOn(Attempt.Link,
                     run_query{Attempt.Run, Call->Context.Key, Call->Claim});
}

// Answers.

void entry_service::handleRunAnswer(const run_answer &Answer, instant Now) {
  const call_pointer Call = findByRun(Answer.Run);
  if (!Call)
    return;
  const entry_attempt Attempt = removeAttempt(*Call, Answer.Run);
  if (Attempt.IsLookUp) {
    lookUpEnded(Call, Attempt, &Answer, Now);
    return;
  }
  updateRouting(*Call, Attempt, Answer, Now);
  Call->PathLevel =
      std::min(Call->PathLevel, admission_level::fromIndex(Answer.PathLevel));
  Call->Budget.reclaim(Attempt.LentBudget, Answer.ReturnedBudget);
  switch (Answer.Outcome) {
  case run_outcome::Completed:
    finish(Call, run_outcome::Completed, refusal::None, Answer.Answer, Now);
    return;
  case run_outcome::NotRun:
    attemptNotRun(Call, Attempt, Answer.Reason, Now);
    return;
  case run_outcome::Unknown:
    attemptUnknown(Call, Attempt, Answer.Reason, Now);
    return;
  }
}

void entry_service::handleRunAbsent(const run_not_found &Absent, instant Now) {
  const call_pointer Call = findByRun(Absent.Run);
  if (!Call)
    return;
  const entry_attempt Attempt = removeAttempt(*Call, Absent.Run);
  if (Attempt.IsLookUp)
    lookUpEnded(Call, Attempt, nullptr, Now);
  else
    attemptUnknown(Call, Attempt, refusal::NoRecord, Now);
}

void entry_service::attemptNotRun(const call_pointer &Call,
                                  const entry_attempt &Attempt, refusal Reason,
                                  instant Now) {
  Call->LastRefusal = Reason;
  if (Reason == refusal::Fenced && Call->Claim != 0) {
    // Another send of the same key had the gate fence this claim, or a query
    // after a lost link found no record of the attempt. Another send may have
    // replaced the claim since, so request one without replacing any: if the
    // key has a claim, the gate of that claim is queried.
    Call->Claim = 0;
    claimNext(Call, Now);
    return;
  }
  Call->Tried.push_back(Attempt.Node.Name);
  if (isFinal(Reason))
    finish(Call, run_outcome::NotRun, Reason, {}, Now);
  else
    retryOrEnd(Call, attempt_outcome::NotRun, Reason, Now);
}

void entry_service::attemptUnknown(const call_pointer &Call,
                                   const entry_attempt &Attempt, refusal Reason,
                                   instant Now) {
  Call->MayHaveRun = true;
  Call->Tried.push_back(Attempt.Node.Name);
  // The attempt may have run and made sub-calls, and a retry would make them
  // again under the same keys. Sub-calls inherit the send number, so as
  // re-sends the non-repeatable ones are looked up and not run twice.
  if (Call->Context.Send == send_number::First)
    Call->Context.Send = send_number::Again;
  retryOrEnd(Call, attempt_outcome::Unknown, Reason, Now);
}

void entry_service::retryOrEnd(const call_pointer &Call,
                               attempt_outcome Outcome, refusal Reason,
                               instant Now) {
  service_routes &Service = routesOf(Call->Source.Service, Now);
  const failed_attempt Failed{Outcome, Call->Repeatable, Call->Deadline,
                              Service.Chooser.meanLatency()};
  const retry_decision Decision =
      decideRetry(Failed, Call->Budget, Service.Throttle, Now);
  if (Decision != retry_decision::Retry) {
    const run_outcome FinalOutcome = Outcome == attempt_outcome::NotRun
                                         ? run_outcome::NotRun
                                         : run_outcome::Unknown;
    finish(Call, FinalOutcome, Reason, {}, Now);
    return;
  }
  if (Call->Claim != 0)
    claimNext(Call, Now);
  else
    sendNext(Call, Now);
}

void entry_service::lookUpEnded(const call_pointer &Call,
                                const entry_attempt &Attempt,
                                const run_answer *Answer, instant Now) {
  const auto Holder = Attempt.Link == LocalLink ? std::optional(Settings.Self)
                                                : Links.peerOf(Attempt.Link);
  const bool IsClaim = Call->Claim != 0;
  if (Answer != nullptr && Answer->Outcome == run_outcome::Completed) {
    finish(Call, run_outcome::Completed, refusal::None, Answer->Answer, Now);
    return;
  }
  if (!IsClaim) {
    if (Call->Attempts.empty())
      finish(Call, run_outcome::Unknown, refusal::NoRecord, {}, Now);
    return;
  }
  const bool IsFenced = Answer != nullptr &&
                        Answer->Outcome == run_outcome::NotRun &&
                        Answer->Reason == refusal::Fenced;
  if (!Holder || !isSameRun(*Holder, Call->ClaimGate)) {
    finish(Call, run_outcome::Unknown, refusal::NodeReplaced, {}, Now);
    return;
  }
  if (Answer == nullptr || Answer->Outcome == run_outcome::Unknown) {
    finish(Call, run_outcome::Unknown, refusal::NoRecord, {}, Now);
    return;
  }
  // A fenced claim can never run, so replace it. If its run ended NotRun
  // instead, its sender may have replaced the claim already, so read the claim
  // again.
  if (!IsFenced)
    Call->Claim = 0;
  claimNext(Call, Now);
}

// Links.

void entry_service::linkUp(link_id Link, const node_identity &Peer,
                           instant Now) {
  if (!Links.onLinkUp(Link, Peer))
    return;
  for (const auto &[Call, Run] : attemptsOn(Link)) {
    entry_attempt *Attempt = findAttempt(*Call, Run);
    if (Attempt == nullptr || Attempt->State == attempt_state::Sent)
      continue;
    if (isSameRun(Attempt->Node, Peer))
      queryLostAttempt(*Call, *Attempt);
    else
      abandonAttempt(Call, Run, refusal::NodeReplaced, Now);
  }
}

void entry_service::linkDown(link_id Link, bool WasUp, instant Now) {
  const auto Peer = Links.peerOf(Link);
  Links.onLinkDown(Link);
  for (const auto &[Call, Run] : attemptsOn(Link)) {
    entry_attempt *Attempt = findAttempt(*Call, Run);
    if (Attempt == nullptr)
      continue;
    if (!WasUp && Attempt->State == attempt_state::Sent) {
      failUnsent(Call, Run, Now);
      continue;
    }
    if (Peer)
      Attempt->Node.Incarnation = Peer->Incarnation;
    // A repeatable request is run again at once instead of being queried.
    if (Call->Repeatable && !Attempt->IsLookUp)
      abandonAttempt(Call, Run, refusal::ConnectionLost, Now);
    else
      markLost(*Attempt, Now);
  }
}

void entry_service::failUnsent(const call_pointer &Call, const request_id &Run,
                               instant Now) {
  // Nothing was sent on a link that was never up.
  const entry_attempt Unsent = removeAttempt(*Call, Run);
  if (Unsent.IsLookUp) {
    lookUpEnded(Call, Unsent, nullptr, Now);
    return;
  }
  routesOf(Call->Source.Service, Now).Chooser.onNoAnswer(Unsent.Node, Now);
  Call->Budget.reclaim(Unsent.LentBudget, Unsent.LentBudget);
  attemptNotRun(Call, Unsent, refusal::NodeUnreachable, Now);
}

void entry_service::abandonAttempt(const call_pointer &Call,
                                   const request_id &Run, refusal Reason,
                                   instant Now) {
  const entry_attempt Lost = removeAttempt(*Call, Run);
  if (Lost.IsLookUp) {
    lookUpEnded(Call, Lost, nullptr, Now);
    return;
  }
  routesOf(Call->Source.Service, Now).Chooser.onNoAnswer(Lost.Node, Now);
  attemptUnknown(Call, Lost, Reason, Now);
}

void entry_service::markLost(entry_attempt &Attempt, instant Now) {
  if (Attempt.State == attempt_state::Sent) {
    Attempt.State = attempt_state::Lost;
    Attempt.LostAt = Now;
    Attempt.Link = Links.linkTo(Attempt.Node.Name, Attempt.Remote);
    return;
  }
  // The new link failed as well; processTimeouts() opens another one.
  Attempt.Link = NoLink;
  Attempt.RedialAt = Now + RedialDelay;
}

void entry_service::queryLostAttempt(const entry_call &Call,
                                     entry_attempt &Attempt) {
  Attempt.State = attempt_state::Sent;
  run_query Query{Attempt.Run, {}, 0};
  if (Attempt.IsLookUp) {
    Query.Key = Call.Context.Key;
    Query.Claim = Call.Claim;
  }
  Ports.Peers.sendOn(Attempt.Link, std::move(Query));
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
