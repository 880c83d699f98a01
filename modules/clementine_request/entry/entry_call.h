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

/// What is known of one attempt that has not ended.
enum class attempt_state : std::uint8_t {
  /// It was sent on its link, or waits there for the handshake.
  Sent,
  /// Its link broke after it was sent; a new link is being opened.
  Lost,
};

/// One message to one node that has not been answered yet.
struct entry_attempt {
  request_id Run;
  node_identity Node;
  endpoint Remote;
  link_id Link = LocalLink;
  attempt_state State = attempt_state::Sent;
  /// Whether it only looks up an earlier send.
  bool IsLookUp = false;
  instant SentAt;
  instant LostAt;
  /// When a lost node is dialled again while there is no link.
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
  /// A first instance of its service, of which this node has not heard yet.
  AwaitingInstance,
};

/// One request between its arrival and the answer to its caller.
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
  /// What a sub-call was lent by its parent's run.
  std::uint32_t BudgetAtStart = 0;
  /// The names of nodes that need not be tried again.
  std::vector<std::string> Tried;
  std::vector<entry_attempt> Attempts;
  unsigned AttemptsSent = 0;
  /// Whether no other send of the same key can run. Without that, NotRun is
  /// never said: an earlier send may still wait somewhere, for instance at a
  /// paused node, and nothing tells it from a later one.
  bool IsSurelyFirst = false;
  /// Whether an attempt ended without certainty.
  bool MayHaveRun = false;
  /// When a parked call is given up.
  instant InstanceWaitEnd;
  /// The claim that this call holds or has found, and the gate it names.
  std::uint64_t Claim = 0;
  node_identity ClaimGate;
  /// The strictest admission level that an answer brought.
  admission_level PathLevel;
  /// The reason of the last attempt that was not run.
  refusal LastRefusal = refusal::None;
};

} // namespace clementine

#endif
