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

/// Identifies a unit of work: equal keys mean the same work.
struct run_key {
  std::string Operation;
  std::string IdempotencyKey;
  std::string Nonce;

  bool operator<(const run_key &Other) const {
    return std::tie(Operation, IdempotencyKey, Nonce) <
           std::tie(Other.Operation, Other.IdempotencyKey, Other.Nonce);
  }
};

/// @returns the first word of @p Body, truncated to a maximum length. It serves
/// to distinguish requests.
std::string nonceOf(std::string_view Body);

/// Records which work ran, how often, and whether it was completed. Tests use
/// it to detect work that did not run or ran twice.
class run_log {
public:
  /// @param JournalPath a file to which a line is appended for each begin and
  /// end, so that the record remains after the process ends; empty for none. A
  /// line has the kind (begin, completed, aborted), operation, idempotency key,
  /// nonce, and the monotonic time of a begin or the busy time of an end in
  /// microseconds.
  /// @param Time has to outlive the log.
  run_log(const std::string &JournalPath, const clock &Time);
  ~run_log();

  run_log(const run_log &) = delete;
  run_log &operator=(const run_log &) = delete;

  /// Records the begin of work. Has to be called before any of it is done.
  void begin(const run_key &Key);

  /// Records the end of work.
  /// @param Busy the time spent on it, without sub-calls.
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
