#ifndef CLEMENTINE_REQUEST_LEDGER_RUN_LEDGER_H
#define CLEMENTINE_REQUEST_LEDGER_RUN_LEDGER_H

#include "clementine_core/clementine_core.h"
#include "clementine_request/ledger/past_keys.h"
#include "clementine_wire/messages/messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace clementine {

/// Caps and times of a run_ledger.
struct run_ledger_settings {
  /// The most requests that may not be repeated whose answers are kept.
  std::size_t MaxKeyedRuns = 20000;
  /// The most bytes of kept answers, in bytes.
  std::size_t MaxAnswerBytes = 8U << 20U;
  /// The most keys that are remembered by their hash after their answers.
  std::size_t MaxPastKeys = 1000000;
  /// How long a keyed run's answer is kept after its end.
  duration KeyedRunRetention = std::chrono::minutes(10);
  /// How long a key is remembered by its hash after that. Longer than a claim
  /// lasts in the platform, so that an old claim is never taken for unused.
  duration PastKeyRetention = std::chrono::hours(25);
  /// How long an attempt of any request is kept after its end.
  duration AttemptRetention = std::chrono::seconds(10);
  /// The most that one call may age the ledger.
  duration MaxTimeStep = std::chrono::milliseconds(200);

  bool operator==(const run_ledger_settings &) const = default;
};

/// How the ledger answers an attempt that asks to begin.
enum class begin_verdict : std::uint8_t {
  /// It is recorded as running; run it.
  Run,
  /// The same request runs already; wait for its end.
  Join,
  /// It has ended; answer() has its answer.
  Ended,
  /// It was made sure that it never runs.
  Fenced,
  /// There is no room to remember it, so it must not run.
  Full,
  /// It ran so long ago that its answer is gone.
  Expired,
};

/// What one node remembers of the runs on its upstream.
///
/// Every attempt is remembered by its identifier for a short time, so that its
/// sender can ask for it over a new connection. A request that may not be
/// repeated is remembered by its key as well: first with its answer, then as a
/// 64-bit hash of the key. Nothing is forgotten early: a full ledger refuses
/// new requests that may not be repeated.
///
/// The ledger ages only by steps of a bounded length, however late a call
/// comes. A node that was paused therefore still remembers what it had fenced
/// before the pause when it reads what arrived during it.
class run_ledger {
public:
  explicit run_ledger(run_ledger_settings Settings);

  run_ledger(const run_ledger &) = delete;
  run_ledger &operator=(const run_ledger &) = delete;

  /// Records that an attempt begins, unless that is refused.
  /// @param Key empty for a request that may be repeated.
  /// @param Claim the claim under which a keyed request runs, or 0.
  begin_verdict begin(const request_id &Run, const std::string &Key,
                      std::uint64_t Claim);

  /// Records the end of an attempt that had begun.
  ///
  /// An attempt that ended NotRun leaves no record under its key, since it says
  /// nothing about what other nodes did with the key.
  void end(const request_id &Run, const run_answer &Answer);

  /// Records that an attempt which is not known yet never begins here.
  /// @returns false when the attempt is known already.
  bool fence(const request_id &Run);

  /// Records that a claim on a key never begins here.
  /// @returns false when the key is known already, has been forgotten, or
  /// there is no room: then nothing is certain.
  bool fenceClaim(const std::string &Key, std::uint64_t Claim);

  /// @returns the attempt that holds @p Key, if its record is here.
  const request_id *runOfKey(const std::string &Key) const;

  /// @returns the answer of an attempt that has ended, or null.
  const run_answer *answer(const request_id &Run) const;

  /// @returns whether an attempt has begun and not ended.
  bool isRunning(const request_id &Run) const;

  /// Remembers that @p Run waits for, or was answered by, the attempt that
  /// holds its key, so that it is answered alike when it is asked for.
  void join(const request_id &Run, const request_id &Holder);

  /// @returns the attempt that @p Run joined, or @p Run itself.
  request_id holderOf(const request_id &Run) const;

  /// Drops what has been kept long enough.
  void advanceTime(instant Now);

  /// @returns how many answers of keyed runs are kept.
  std::size_t keyedRuns() const { return Keyed.size(); }

private:
  enum class run_state : std::uint8_t { Running, Ended, Fenced };

  struct attempt {
    run_state State = run_state::Running;
    std::string Key;
    run_answer Answer;
    /// When not zero: this attempt joined another one of the same key.
    request_id JoinedTo;
  };

  struct keyed_run {
    /// Zero when only the fence is known.
    request_id Run;
    /// Claims up to this one never begin here; 0 when none was fenced.
    std::uint64_t FencedClaim = 0;
    /// In the ledger's own time; has a meaning once the run has ended.
    duration RetainUntil{0};
  };

  struct expiry {
    duration At;
    request_id Run;
  };

  struct key_expiry {
    duration At;
    std::string Key;
  };

  begin_verdict beginKeyed(const request_id &Run, const std::string &Key,
                           std::uint64_t Claim);
  begin_verdict verdictOfKnown(const request_id &Run) const;
  void releaseKey(attempt &Attempt);
  bool isFull() const;
  void eraseAttempt(const request_id &Run);
  void expireKey(const std::string &Key);
  void scheduleKeyExpiry(const std::string &Key, keyed_run &Run);

  const run_ledger_settings Settings;
  std::unordered_map<request_id, attempt, request_id_hash> Attempts;
  std::unordered_map<std::string, keyed_run> Keyed;
  past_keys PastKeys;
  std::deque<expiry> AttemptExpiries;
  std::deque<key_expiry> KeyExpiries;
  std::size_t AnswerBytes = 0;
  /// The ledger's own time, which passes by bounded steps.
  duration LedgerTime{0};
  instant LastAdvance{};
};

} // namespace clementine

#endif
