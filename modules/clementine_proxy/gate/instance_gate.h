#ifndef CLEMENTINE_PROXY_GATE_INSTANCE_GATE_H
#define CLEMENTINE_PROXY_GATE_INSTANCE_GATE_H

#include "clementine_admission/clementine_admission.h"
#include "clementine_proxy/gate/downstream_limiter.h"
#include "clementine_proxy/gate/instance_book.h"
#include "clementine_proxy/peers/peer_messages.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace clementine::proxy {

/// Names the node's own entry among the links that give orders.
constexpr std::uint64_t OwnEntryLink = 0;

/// A run on its way to the instance.
struct instance_call {
  attempt_id Attempt;
  std::string Instance;
  bool IsIdempotent = false;
  /// When the entry gives its final answer.
  instant Deadline;
  request Request;
};

/// How a call to the instance ended.
struct instance_result {
  run_outcome Outcome = run_outcome::NotRun;
  run_cause Cause = run_cause::None;
  bool ReachedInstance = false;
  response Response;
};

/// What an instance_gate acts through.
class gate_port {
public:
  virtual ~gate_port() = default;

  /// Sends a run to the instance; instance_gate::instanceEnded() follows.
  virtual void callInstance(instance_call Call) = 0;
  /// Breaks a call off; no instanceEnded() follows.
  virtual void abortInstance(const attempt_id &Attempt) = 0;
  virtual void report(std::uint64_t Link, run_report Report) = 0;
};

/// Times and limits of an instance_gate.
struct instance_gate_settings {
  admission_gate_settings Admission;
  downstream_limiter_settings Downstream;
  /// How long the end of a run can be asked for again.
  duration KeepEnded = std::chrono::seconds(3);
  /// The most ended runs that are kept, and the most bytes of their answers.
  std::size_t MaxEnded = 2000;
  std::size_t MaxEndedBytes = std::size_t{8} << 20U;
  /// After a failed connection the instance counts as unreachable for so long.
  duration UnreachablePause = std::chrono::milliseconds(300);
};

/// Runs requests on the instance beside this node: the only way to it.
///
/// Each order ends in one report. NotRun is said only of what was never handed
/// to the instance, or what it certified as not run, and the attempt can never
/// begin afterwards. Free of I/O.
class instance_gate {
public:
  instance_gate(instance_gate_settings Settings, instance_book &Book,
                gate_port &Port);
  ~instance_gate();

  instance_gate(const instance_gate &) = delete;
  instance_gate &operator=(const instance_gate &) = delete;

  void order(std::uint64_t Link, attempt_request AttemptRequest, instant Now);
  void query(std::uint64_t Link, const run_query &Query, instant Now);
  void cancel(const run_cancel &Cancel, instant Now);
  void instanceEnded(const attempt_id &Attempt, instance_result Result,
                     instant Now);

  /// The book has changed: adopts a new instance, or stops handing out work.
  void instanceChanged(instant Now);

  /// Refuses what can no longer be answered in time.
  void passTime(instant Now);
  /// @returns when passTime() next has something to do.
  std::optional<instant> nextWake() const;

  gate_status status(instant Now) const;
  std::size_t active() const { return Runs.size(); }

private:
  struct active_run {
    std::uint64_t Link = OwnEntryLink;
    attempt_request AttemptRequest;
    instant Deadline;
    instant StartedAt;
    bool IsRunning = false;
    bool IsLimited = false;
  };
  struct ended_run {
    instant EndedAt;
    run_report Report;
  };

  bool isHeldBack(active_run &Run);
  void learn(const active_run &Run, const instance_result &Result, instant Now);
  void obey(const gate_actions &Actions, instant Now);
  void start(const attempt_id &Attempt, instant Now);
  void refuse(const attempt_id &Attempt, run_cause Cause, instant Now);
  void finish(const attempt_id &Attempt, instance_result Result, instant Now);
  void keep(const run_report &Report, instant Now);
  void forget(instant Now);

  const instance_gate_settings Settings;
  instance_book &Book;
  gate_port &Port;
  std::unique_ptr<admission_gate> Admission;
  std::unique_ptr<downstream_limiter> Downstream;
  /// The instance that Admission belongs to.
  std::string Instance;
  std::uint32_t Slots = 0;
  std::unordered_map<attempt_id, active_run, request_id_hash> Runs;
  std::unordered_map<attempt_id, ended_run, request_id_hash> Ended;
  std::deque<attempt_id> EndedOrder;
  std::size_t EndedBytes = 0;
  instant UnreachableUntil;
};

} // namespace clementine::proxy

#endif
