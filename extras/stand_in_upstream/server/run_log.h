#ifndef STAND_IN_UPSTREAM_SERVER_RUN_LOG_H
#define STAND_IN_UPSTREAM_SERVER_RUN_LOG_H

#include "clementine_core/time/clock.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>

namespace clementine::stand_in {

/// Names a piece of work: the same text twice means the same work.
struct run_key {
  std::string Operation;
  std::string IdempotencyKey;
  std::string Nonce;

  bool operator<(const run_key &Other) const {
    return std::tie(Operation, IdempotencyKey, Nonce) <
           std::tie(Other.Operation, Other.IdempotencyKey, Other.Nonce);
  }
};

/// @returns the first word of @p Body, cut to a bounded length; it tells
/// requests apart.
std::string nonceOf(std::string_view Body);

/// Remembers what ran, how often, and whether it was completed: the oracle for
/// "not run" and "run twice".
class run_log {
public:
  /// @param JournalPath a file that gets a line for each begin and end, so
  /// that the record outlives the process; empty for none. A line has the kind
  /// (begin, completed, aborted), operation, idempotency key, nonce, and the
  /// monotonic time of a begin or the busy time of an end in microseconds.
  /// @param Time has to outlive the log.
  run_log(const std::string &JournalPath, const clock &Time);
  ~run_log();

  run_log(const run_log &) = delete;
  run_log &operator=(const run_log &) = delete;

  /// Notes that work begins. Called before anything is done.
  void begin(const run_key &Key);

  /// Notes that work has ended after @p Busy of own work.
  void end(const run_key &Key, bool IsCompleted, duration Busy);

  /// @returns the record as JSON: totals and a row for each key, with the
  /// operation, idempotency key, nonce, begins, completions and busy time in
  /// microseconds.
  std::string json() const;

private:
  struct counts {
    unsigned Begun = 0;
    unsigned Completed = 0;
    duration Busy{0};
  };

  void writeLine(const std::string &Line);

  const clock &Time;
  mutable std::mutex Mutex;
  std::map<run_key, counts> Runs;
  std::uint64_t Dropped = 0;
  duration Busy{0};
  duration BusyOnCompleted{0};
  const int Journal;
};

} // namespace clementine::stand_in

#endif
