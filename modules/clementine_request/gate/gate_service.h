#ifndef CLEMENTINE_REQUEST_GATE_GATE_SERVICE_H
#define CLEMENTINE_REQUEST_GATE_GATE_SERVICE_H

#include "clementine_admission/clementine_admission.h"
#include "clementine_core/clementine_core.h"
#include "clementine_request/gate/upstream_port.h"
#include "clementine_request/ledger/run_ledger.h"
#include "clementine_request/tracing/hop_trace.h"
#include "clementine_routing/retries/retry_budget.h"
#include "clementine_wire/links/node_link.h"
#include "clementine_wire/messages/messages.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementine {

/// The state that a sub-call inherits from its parent run.
struct sub_call_context {
  request_context Context;
  /// The deadline of the parent run.
  instant Deadline;

  bool operator==(const sub_call_context &) const = default;
};

/// The result of a sub-call, reported to its parent run.
struct sub_call_result {
  /// The retry budget lent to the sub-call, and the unused part of it.
  std::uint32_t LentBudget = 0;
  std::uint32_t UnusedBudget = 0;
  bool IsCompleted = false;
  /// The strictest admission level reported along the sub-call's path.
  admission_level PathLevel;

  bool operator==(const sub_call_result &) const = default;
};

/// Receives the result of each run at a gate, for spans and metrics.
class gate_observer {
public:
  virtual ~gate_observer() = default;

  /// @param Queued the time from arrival to the start, or to the refusal.
  /// @param Ran the time from start to end; zero if the run did not start.
  virtual void runEnded(const run_request &Request, const run_answer &Answer,
                        const hop_trace &Trace, duration Queued,
                        duration Ran) = 0;
};

/// Timeouts of a gate_service.
struct gate_service_settings {
  /// How long a non-repeatable run may continue past its deadline, so that a
  /// re-send can still join it.
  duration ResendGracePeriod = std::chrono::seconds(10);

  bool operator==(const gate_service_settings &) const = default;
};

/// Runs requests on the upstream on the same VM as this node. All requests to
/// that upstream pass through this class.
///
/// Each run_request gets exactly one run_answer. NotRun is returned only for a
/// request that was never sent to the upstream, or that the upstream itself
/// refused; the attempt can never start on this node afterwards. Performs no
/// I/O.
class gate_service {
public:
  /// All referenced objects must outlive the service.
  gate_service(gate_service_settings Settings, admission_gate &Gate,
               run_ledger &Ledger, upstream_port &Upstream, peer_port &Peers,
               gate_observer &Observer, random_source &Random);

  gate_service(const gate_service &) = delete;
  gate_service &operator=(const gate_service &) = delete;

  /// Sets the name of the service that the local upstream provides; empty while
  /// there is no upstream.
  void setService(std::string Name) { Service = std::move(Name); }
  const std::string &service() const { return Service; }

  /// Handles a run request received on @p Link.
  void run(link_id Link, run_request Request, instant Now);

  /// Handles a query about an attempt or an idempotency key.
  void query(link_id Link, const run_query &Query, instant Now);

  /// Cancels an attempt. The run itself is cancelled only when no other attempt
  /// waits for its answer and it has not started or is repeatable.
  void cancel(const run_cancel &Cancel, instant Now);

  /// Handles the result of an upstream call.
  void upstreamCallEnded(const upstream_result &Result, instant Now);

  /// Expires ledger records, refuses queued requests that can no longer meet
  /// their deadlines, and cancels repeatable runs that have passed theirs.
  void processTimeouts(instant Now);

  /// Refuses all new requests from now on; started runs continue.
  void drain(instant Now);

  /// @returns whether drain() was called.
  bool isDraining() const { return Gate.isDraining(); }

  /// @returns the number of runs that are queued or running.
  std::size_t activeRuns() const { return Runs.size(); }

  /// Starts a sub-call of the run with token @p Token and lends it a part of
  /// the run's retry budget.
  /// @param Target service and operation, which become part of the sub-call's
  /// idempotency key.
  /// @param OwnKey the key chosen by the upstream for the sub-call; if empty,
  /// the sub-calls to one target are numbered in the order they are made.
  /// @returns no value if there is no such run.
  std::optional<sub_call_context> beginSubCall(const request_id &Token,
                                               const std::string &Target,
                                               const std::string &OwnKey,
                                               instant Now);

  /// Records the result of a sub-call and takes back its unused retry budget.
  void endSubCall(const request_id &Token, const sub_call_result &End,
                  instant Now);

private:
  /// A request that has been accepted and not yet answered.
  struct active_run {
    run_request Request;
    hop_trace Trace;
    instant ArrivedAt;
    instant Deadline;
    std::optional<instant> StartedAt;
    request_id Token;
    /// Where to send the answer, one address for each waiting attempt.
    std::vector<run_address> Waiting;
    retry_budget Budget{0};
    /// The strictest admission level reported by a sub-call.
    admission_level SubCallLevel;
    std::uint32_t CompletedSubCalls = 0;
    std::map<std::string, unsigned> SubCallsByTarget;
    unsigned OpenSubCalls = 0;
    instant SubCallsSince;
    duration SubCallTime{0};
    bool IsCancelled = false;
  };

  using run_pointer = std::shared_ptr<active_run>;

  void admit(const run_pointer &Run, instant Now);
  void applyActions(const gate_actions &Actions, instant Now);
  void start(const run_pointer &Run, instant Now);
  void finish(const run_pointer &Run, run_answer Answer, instant Now);
  void refuse(const run_pointer &Run, refusal Reason, instant Now);
  void join(link_id Link, const request_id &Attempt, const request_id &Holder);
  void reply(run_address To, run_answer Answer);
  void cancelLateRuns(instant Now);
  run_answer answerOf(const active_run &Run,
                      const upstream_result &Result) const;
  admission_ticket ticketOf(const active_run &Run) const;

  const gate_service_settings Settings;
  admission_gate &Gate;
  run_ledger &Ledger;
  upstream_port &Upstream;
  peer_port &Peers;
  gate_observer &Observer;
  random_source &Random;
  /// Has a sample rate of zero, because the entry makes the sampling decision.
  const trace_sampler Sampler{0};
  std::string Service;
  std::unordered_map<request_id, run_pointer, request_id_hash> Runs;
  std::unordered_map<request_id, run_pointer, request_id_hash> ByToken;
};

} // namespace clementine

#endif
