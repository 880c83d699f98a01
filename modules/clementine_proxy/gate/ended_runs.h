#ifndef CLEMENTINE_PROXY_GATE_ENDED_RUNS_H
#define CLEMENTINE_PROXY_GATE_ENDED_RUNS_H

#include "clementine_proxy/peers/peer_messages.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace clementine::proxy {

/// How much a gate remembers of the runs that have ended.
struct ended_run_settings {
  /// How long the response of an ended run can be queried.
  duration ResponseRetention = std::chrono::seconds(3);
  /// The maximum number of responses that are kept, and of bytes of their
  /// headers and bodies.
  std::size_t MaxResponses = 2000;
  std::size_t MaxResponseBytes = std::size_t{8} << 20U;
  /// The maximum number of runs whose outcome is kept.
  std::size_t MaxRuns = 16384;
};

/// For each process that sends attempts, the lowest number from which on the
/// gate remembers every attempt that has come ("floor").
///
/// Keeps the floors of MaxProcesses processes of each node; those of a node's
/// earlier processes are replaced by "nothing is remembered".
class attempt_floors {
public:
  static constexpr std::size_t MaxProcesses = 8;

  /// @returns whether an attempt with that number may have come and been
  /// forgotten. False for one without a number.
  bool mayBeForgotten(const attempt_origin &Origin) const;

  /// Records that the gate forgets an attempt.
  void forget(const attempt_origin &Origin);

private:
  struct node_floors {
    std::map<std::uint64_t, std::uint64_t> FloorByIncarnation;
    /// Nothing is remembered of lower incarnations that have no floor.
    std::uint64_t LowestIncarnation = 0;
  };
  std::map<std::string, node_floors> Nodes;
};

/// The runs of a gate that have ended, from the latest back to a limit: their
/// response for a short time, their outcome for longer. Performs no I/O.
///
/// What it no longer remembers is never taken for something that has not
/// happened: mayBeForgotten() tells the two apart.
class ended_runs {
public:
  explicit ended_runs(ended_run_settings Settings) : Settings(Settings) {}

  /// @returns the report of a run, without the gate's status. If its response
  /// is no longer kept, the outcome is Unknown.
  std::optional<run_report> find(const attempt_id &Attempt) const;

  /// @returns whether an attempt of which find() knows nothing may have come.
  /// False for one without a number, of which nothing can be said.
  bool mayBeForgotten(const attempt_origin &Origin) const {
    return Floors.mayBeForgotten(Origin);
  }

  void store(const attempt_origin &Origin, const run_report &Report,
             instant Now);

  /// Forgets the responses that are older than ResponseRetention.
  void passTime(instant Now);

  std::size_t size() const { return Runs.size(); }
  std::size_t responseBytes() const { return ResponseBytes; }

private:
  struct ended_run {
    instant EndedAt;
    attempt_origin Origin;
    run_outcome Outcome = run_outcome::NotRun;
    run_cause Cause = run_cause::None;
    bool ReachedInstance = false;
    /// Null once it is no longer kept, and if there is none.
    std::unique_ptr<const response> Response;
  };

  void limitResponses(instant Now);
  void limitRuns();

  const ended_run_settings Settings;
  std::unordered_map<attempt_id, ended_run, request_id_hash> Runs;
  /// In the order in which they ended.
  std::deque<attempt_id> Order;
  std::deque<attempt_id> ResponseOrder;
  std::size_t ResponseBytes = 0;
  attempt_floors Floors;
};

} // namespace clementine::proxy

#endif
