/// What the forwarder does with the attempts at a gate when the link to it
/// changes.

#include "clementine_proxy/entry/forwarder.h"

#include <set>
#include <utility>

namespace clementine::proxy {

void forwarder::linkUp(const std::string &Node, std::uint64_t Incarnation,
                       instant Now) {
  std::vector<call_pointer> Waiting;
  for (const auto &[Id, Call] : CallsByAttempt)
    if (Call->Attempt && Call->Attempt->Node == Node)
      Waiting.push_back(Call);
  for (const call_pointer &Call : Waiting)
    isolate(Call, Now, [&] { resumeAttempt(Call, Incarnation, Now); });
}

void forwarder::resumeAttempt(const call_pointer &Call,
                              std::uint64_t Incarnation, instant Now) {
  attempt &Attempt = *Call->Attempt;
  if (!Attempt.IsSent) {
    Attempt.Incarnation = Incarnation;
    return sendAttempt(*Call, Now);
  }
  if (Attempt.Incarnation == Incarnation)
    return Port.send(Attempt.Node, run_query{Attempt.Id, originOf(Attempt)});
  run_report Report;
  Report.Outcome = run_outcome::Unknown;
  Report.Cause = run_cause::LinkLost;
  Report.ReachedInstance = true;
  attemptEnded(Call, Report, Now);
}

void forwarder::linkDown(const std::string &Node, bool WasUp, instant Now) {
  Directory.markDisconnected(Node, Now);
  std::vector<call_pointer> Unsent;
  for (const auto &[Id, Call] : CallsByAttempt)
    if (Call->Attempt && Call->Attempt->Node == Node && !Call->Attempt->IsSent)
      Unsent.push_back(Call);
  for (const call_pointer &Call : Unsent) {
    run_report Report;
    Report.Cause = run_cause::Unreachable;
    isolate(Call, Now, [&] { attemptEnded(Call, Report, Now); });
  }
  // The results of attempts already sent are queried on a new link, if one can
  // be opened.
  if (WasUp)
    reopenLinks();
  else
    linkUnresponsive(Node, Now);
}

void forwarder::linkUnresponsive(const std::string &Node, instant Now) {
  std::vector<call_pointer> Waiting;
  for (const auto &[Id, Call] : CallsByAttempt)
    if (Call->Attempt && Call->Attempt->Node == Node && Call->Attempt->IsSent &&
        !Call->Attempt->IsCancelled && Call->Route->IsIdempotent)
      Waiting.push_back(Call);
  for (const call_pointer &Call : Waiting)
    if (mayRetryElsewhere(*Call, Now))
      isolate(Call, Now, [&] { retryElsewhere(Call, Now); });
}

void forwarder::retryElsewhere(const call_pointer &Call, instant Now) {
  Port.send(Call->Attempt->Node, run_cancel{Call->Attempt->Id, true});
  run_report Report;
  Report.Outcome = run_outcome::Unknown;
  Report.Cause = run_cause::LinkLost;
  Report.ReachedInstance = true;
  closeAttempt(*Call, Report, Now);
  tryNextGate(Call, Now);
}

/// Whether a call may be retried at another gate while its current attempt may
/// still be running. If so, this consumes a retry from the service's budget.
bool forwarder::mayRetryElsewhere(call &Call, instant Now) {
  if (Now >= Call.TimeoutAt || Call.Offers >= Settings.MaxOffers ||
      Call.InstancesReached + 1 >= Call.Route->MaxAttempts)
    return false;
  const known_gate *Other = Directory.choose(Call.Service, Call.Tried, Now);
  return Other != nullptr && Now >= Other->DownUntil &&
         Budgets.at(Call.Service).tryAcquire(Now);
}

void forwarder::reopenLinks() {
  std::set<std::string> NodesWithAttempts;
  for (const auto &[Id, Call] : CallsByAttempt)
    if (Call->Attempt && Call->Attempt->IsSent)
      NodesWithAttempts.insert(Call->Attempt->Node);
  for (const std::string &Node : NodesWithAttempts)
    if (const known_gate *Gate = Directory.find(Node))
      Port.openLink(Gate->Record);
}

} // namespace clementine::proxy
