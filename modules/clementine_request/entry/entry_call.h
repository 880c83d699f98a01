#ifndef CLEMENTINE_REQUEST_ENTRY_ENTRY_CALL_H
#define CLEMENTINE_REQUEST_ENTRY_ENTRY_CALL_H

#include "clementine_admission/clementine_admission.h"
#include "clementine_core/clementine_core.h"
#include "clementine_request/entry/entry_ports.h"
#include "clementine_routing/retries/retry_budget.h"
#include "clementine_wire/links/node_link.h"

#include <optional>
#include <string>
#include <vector>

namespace clementine {

/// The state of an attempt that has not ended.
enum class attempt_state : std::uint8_t {
  /// It was sent on its link, or waits for the link's handshake.
  Sent,
  /// Its link broke after it was sent; a new link is being opened.
  Lost,
};

/// A run request or look-up sent to one node and not yet answered.
struct entry_attempt {
  request_id Run;
  node_identity Node;
  endpoint Remote;
  link_id Link = LocalLink;
  attempt_state State = attempt_state::Sent;
  /// Whether it only looks up an earlier send and never starts a run.
  bool IsLookUp = false;
  instant SentAt;
  instant LostAt;
  /// If Link is NoLink, the time of the next attempt to connect.
  instant RedialAt;
  std::uint32_t LentBudget = 0;
};

/// What a call waits for.
enum class call_phase : std::uint8_t {
  /// The answer of an attempt.
  Running,
  /// The platform's answer about a claim.
  Claiming,
  /// The answers of nodes that may hold an earlier send.
  LookingUp,
  /// A first instance of its service; the directory lists none yet.
  AwaitingInstance,
};

/// A request that has arrived and has not yet been answered.
struct entry_call {
  caller_request Source;
  request_context Context;
  hop_trace Trace;
  bool Repeatable = false;
  double Cost = 0;
  call_phase Phase = call_phase::Running;
  instant ArrivedAt;
  instant Deadline;
  retry_budget Budget{0};
  /// The initial retry budget: that of the policy, or for a sub-call the part
  /// lent by its parent's run.
  std::uint32_t BudgetAtStart = 0;
  /// The names of nodes that are excluded from further attempts.
  std::vector<std::string> Tried;
  std::vector<entry_attempt> Attempts;
  unsigned AttemptsSent = 0;
  /// Whether no other send of the same key can run. If false, NotRun is never
  /// returned: an earlier send may still be waiting, for instance at a paused
  /// node, and cannot be distinguished from a later one.
  bool IsSurelyFirst = false;
  /// Whether the outcome of an attempt was Unknown.
  bool MayHaveRun = false;
  /// When the call stops waiting for a first instance of its service.
  instant InstanceWaitEnd;
  /// The claim that this call holds or has found, and the node it names.
  std::uint64_t Claim = 0;
  node_identity ClaimGate;
  /// The strictest admission level reported by an answer.
  admission_level PathLevel;
  /// Why the last attempt with outcome NotRun was refused.
  refusal LastRefusal = refusal::None;
};

/// @returns whether both are the same process of one node.
inline bool isSameRun(const node_identity &Left, const node_identity &Right) {
  return Left.Name == Right.Name && incarnationAtStart(Left.Incarnation) ==
                                        incarnationAtStart(Right.Incarnation);
}

} // namespace clementine

#endif
