#ifndef CLEMENTINE_PROXY_GATE_INSTANCE_GATE_H
#define CLEMENTINE_PROXY_GATE_INSTANCE_GATE_H

#include "clementine_admission/clementine_admission.h"
#include "clementine_proxy/gate/downstream_limiter.h"
#include "clementine_proxy/gate/ended_runs.h"
#include "clementine_proxy/gate/instance_notice.h"
#include "clementine_proxy/gate/instance_registration.h"
#include "clementine_proxy/peers/peer_messages.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace clementine::proxy {

/// The link number that identifies this node's own forwarder.
constexpr std::uint64_t OwnEntryLink = 0;

/// A request to be sent to the instance.
struct instance_call {
  attempt_id Attempt;
  std::string Instance;
  bool IsIdempotent = false;
  /// When the forwarder sends its final response to the caller.
  instant Deadline;
  request Request;
};

/// The result of a call to the instance.
struct instance_result {
  run_outcome Outcome = run_outcome::NotRun;
  run_cause Cause = run_cause::None;
  bool ReachedInstance = false;
  response Response;
  /// What the instance said about itself, if it has answered.
  std::optional<instance_notice> Notice = std::nullopt;
};

/// Sends the calls and reports of an instance_gate.
class gate_port {
public:
  virtual ~gate_port() = default;

  /// Sends a run to the instance; its result has to be passed to
  /// instance_gate::instanceEnded().
  virtual void callInstance(instance_call Call) = 0;
  /// Aborts a call; instanceEnded() must not be called for it afterwards.
  virtual void abortInstance(const attempt_id &Attempt) = 0;
  virtual void report(std::uint64_t Link, run_report Report) = 0;
};

/// Times and limits of an instance_gate.
struct instance_gate_settings {
  admission_gate_settings Admission;
  downstream_limiter_settings Downstream;
  ended_run_settings EndedRuns;
  /// How long requests are refused after a connection to the instance failed.
  duration UnreachableBackoff = std::chrono::milliseconds(300);
};

/// Runs requests on this node's instance, which is reached only through its
/// gate.
///
/// Each order ends in one report. NotRun is reported only for an attempt that
/// was never sent to the instance, or that the instance certified as not run;
/// such an attempt can never start afterwards. What the gate may have forgotten
/// is reported as Unknown and does not run. Performs no I/O.
class instance_gate {
public:
  instance_gate(instance_gate_settings Settings,
                instance_registration &Registration, gate_port &Port);
  ~instance_gate();

  instance_gate(const instance_gate &) = delete;
  instance_gate &operator=(const instance_gate &) = delete;

  void order(std::uint64_t Link, attempt_request AttemptRequest, instant Now);
  void query(std::uint64_t Link, const run_query &Query, instant Now);
  void cancel(const run_cancel &Cancel, instant Now);
  /// Ends a run at the instance. If the instance says that it is leaving, this
  /// deregisters it as instance_registration::deregister() does.
  void instanceEnded(const attempt_id &Attempt, instance_result Result,
                     instant Now);

  /// Handles a change of the registration: switches to a new instance, or
  /// refuses all queued runs if none is ready.
  void instanceChanged(instant Now);

  /// Ends a run whose handling has failed: as one that may have run if it was
  /// passed to the instance, as not run otherwise. Does nothing if it has
  /// ended.
  void abandon(const attempt_id &Attempt, instant Now);

  /// Refuses the orders that arrive at @p Time or later: the process ends
  /// before they could finish.
  void refuseFrom(instant Time) { RefusesFrom = Time; }

  /// Reports every run that has not ended, without waiting for the instance: a
  /// queued one as not run, any other as unknown. Accepts no more orders.
  void endAll(instant Now);

  /// Refuses queued runs that can no longer complete in time.
  void passTime(instant Now);
  /// @returns when passTime() has to be called next, if at all.
  std::optional<instant> nextWake() const;

  gate_status status(instant Now) const;
  std::size_t active() const { return Runs.size(); }

private:
  struct active_run {
    std::uint64_t Link = OwnEntryLink;
    attempt_request AttemptRequest;
    instant Deadline;
    instant StartedAt;
    /// The run of the instance that it was sent to.
    instance_run Instance;
    bool IsRunning = false;
    bool CountsDownstream = false;
  };

  void applyNotice(const attempt_id &Attempt, const instance_notice &Notice,
                   instant Now);
  void limitStarts(std::optional<double> PerSecond, instant Now);
  std::unique_ptr<concurrency_limiter> makeLimiter();
  bool exceedsDownstreamLimit(active_run &Run);
  void updateDownstreamLimit(const active_run &Run,
                             const instance_result &Result, instant Now);
  void applyActions(const gate_actions &Actions, instant Now);
  void start(const attempt_id &Attempt, instant Now);
  void refuse(const attempt_id &Attempt, run_cause Cause, instant Now);
  /// Ends a run at the instance and reports it as one that may have run.
  void abort(const attempt_id &Attempt, run_cause Cause, instant Now);
  void finish(const attempt_id &Attempt, instance_result Result, instant Now);
  bool reportEnded(std::uint64_t Link, const attempt_id &Attempt, instant Now);
  run_report unknownAttempt(const attempt_id &Attempt, bool IsProvenNotRun,
                            instant Now) const;

  const instance_gate_settings Settings;
  instance_registration &Registration;
  gate_port &Port;
  std::unique_ptr<admission_gate> Admission;
  std::unique_ptr<downstream_limiter> Downstream;
  /// The instance that Admission belongs to.
  std::string Instance;
  std::uint32_t Slots = 0;
  /// Whether an instance has been ready since the process started.
  bool HadInstance = false;
  /// How many requests per second the instance takes; nothing if it names no
  /// limit.
  std::optional<double> StartsPerSecond;
  std::unordered_map<attempt_id, active_run, request_id_hash> Runs;
  ended_runs Ended;
  instant UnreachableUntil;
  instant RefusesFrom = instant::max();
};

} // namespace clementine::proxy

#endif
