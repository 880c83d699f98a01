/// How an entry_service sends a call: to a gate, through a claim, or as a
/// look-up of an earlier send.

#include "clementine_request/entry/entry_service.h"

#include <algorithm>
#include <utility>

namespace clementine {

namespace {

std::uint64_t microsecondsUntil(instant Deadline, instant Now) {
  const duration Left = std::max(Deadline - Now, duration::zero());
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(Left).count());
}

} // namespace

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

} // namespace clementine
