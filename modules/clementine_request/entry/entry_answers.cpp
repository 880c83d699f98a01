/// What an entry_service does with the answers of gates and with changes of the
/// links to them.

#include "clementine_request/entry/entry_service.h"

#include <algorithm>
#include <utility>

namespace clementine {

namespace {

/// The delay before the next attempt to connect to a lost node.
constexpr std::chrono::milliseconds RedialDelay{50};

/// @returns whether no retry at another node could succeed.
bool isFinal(refusal Reason) {
  return Reason == refusal::Malformed || Reason == refusal::KeyRequired ||
         Reason == refusal::DeadlinePassed || Reason == refusal::Cancelled;
}

} // namespace

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

} // namespace clementine
