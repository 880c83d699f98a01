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

/// What a sub-call inherits from the run that makes it.
struct sub_call_context {
  request_context Context;
  /// When the parent's answer is no longer of use.
  instant Deadline;

  bool operator==(const sub_call_context &) const = default;
};

/// What a sub-call brings back to its parent's run.
struct sub_call_end {
  /// The budget that it was lent, and the part it did not use.
  std::uint32_t LentBudget = 0;
  std::uint32_t UnusedBudget = 0;
  bool IsCompleted = false;
  /// The strictest admission level that it met.
  admission_level PathLevel;

  bool operator==(const sub_call_end &) const = default;
};

/// Hears how each run at a gate ended, for spans and metrics.
class gate_observer {
public:
  virtual ~gate_observer() = default;

  /// @param Queued the time before the run was started, or refused.
  /// @param Ran the time from start to end; zero when it was not run.
  virtual void runEnded(const run_request &Request, const run_answer &Answer,
                        const hop_trace &Trace, duration Queued,
                        duration Ran) = 0;
};

/// Times of a gate_service.
struct gate_service_settings {
  /// How long a run that may not be repeated goes on after its deadline, so
  /// that a re-send can still join it.
  duration KeepRunning = std::chrono::seconds(10);

  bool operator==(const gate_service_settings &) const = default;
};

/// Runs requests on the upstream beside this node, the only way to reach it.
///
/// Each run_request ends in exactly one run_answer. NotRun is said only for a
/// request that was never handed to the upstream, or that the upstream itself
/// refused, and after it the attempt can never begin here. Free of I/O.
class gate_service {
public:
  /// All references have to outlive the service.
  gate_service(gate_service_settings Settings, admission_gate &Gate,
               run_ledger &Ledger, upstream_port &Upstream, peer_port &Peers,
               gate_observer &Observer, random_source &Random);

  gate_service(const gate_service &) = delete;
  gate_service &operator=(const gate_service &) = delete;

  /// Names the service of the upstream beside this node; empty while there is
  /// none.
  void setService(std::string Name) { Service = std::move(Name); }
  const std::string &service() const { return Service; }

  /// Takes a request that came on @p Link.
  void run(link_id Link, run_request Request, instant Now);

  /// Takes a question about an attempt or a key.
  void query(link_id Link, const run_query &Query, instant Now);

  /// Takes back an attempt.
  void cancel(const run_cancel &Cancel, instant Now);

  /// Takes the end of a call of the upstream.
  void upstreamCallEnded(const upstream_result &Result, instant Now);

  /// Refuses what can no longer be answered in time.
  void passTime(instant Now);

  /// Refuses all new work from now on; what runs goes on.
  void drain(instant Now);

  /// @returns whether drain() was called.
  bool isDraining() const { return Gate.isDraining(); }

  /// @returns how many runs are waiting or running.
  std::size_t activeRuns() const { return Runs.size(); }

  /// Begins a sub-call of the run that @p Token names and lends it a part of
  /// the run's retry budget.
  /// @param Target service and operation, which enter the sub-call's key.
  /// @param OwnKey the upstream's own key for the sub-call; when empty, the
  /// sub-calls of one target are numbered in their order.
  /// @returns nothing when there is no such run.
  std::optional<sub_call_context> beginSubCall(const request_id &Token,
                                               const std::string &Target,
                                               const std::string &OwnKey,
                                               instant Now);

  /// Ends a sub-call.
  void endSubCall(const request_id &Token, const sub_call_end &End,
                  instant Now);

private:
  /// One request between its arrival and its answer.
  struct active_run {
    run_request Request;
    hop_trace Trace;
    instant ArrivedAt;
    instant Deadline;
    std::optional<instant> StartedAt;
    request_id Token;
    /// Who waits for the answer, each under its own attempt.
    std::vector<run_address> Waiting;
    retry_budget Budget{0};
    /// The strictest level that a sub-call met.
    admission_level LevelBelow;
    std::uint32_t CompletedSubCalls = 0;
    std::map<std::string, unsigned> SubCallsByTarget;
    unsigned OpenSubCalls = 0;
    instant SubCallsSince;
    duration SubCallTime{0};
    bool IsCancelled = false;
  };

  using run_pointer = std::shared_ptr<active_run>;

  void admit(const run_pointer &Run, instant Now);
  void obey(const gate_actions &Actions, instant Now);
  void start(const run_pointer &Run, instant Now);
  void finish(const run_pointer &Run, run_answer Answer, instant Now);
  void refuse(const run_pointer &Run, refusal Reason, instant Now);
  void join(link_id Link, const request_id &Attempt, const request_id &Holder);
  void reply(run_address To, run_answer Answer);
  void abandonLate(instant Now);
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
  /// Samples nothing by itself: the entry has decided.
  const trace_sampler Sampler{0};
  std::string Service;
  std::unordered_map<request_id, run_pointer, request_id_hash> Runs;
  std::unordered_map<request_id, run_pointer, request_id_hash> ByToken;
};

} // namespace clementine

#endif
