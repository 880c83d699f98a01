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

/// Limits and retention times of a run_ledger.
struct run_ledger_settings {
  /// The maximum number of non-repeatable requests whose answers are kept.
  std::size_t MaxKeyedRuns = 20000;
  /// The maximum total size of kept answers, in bytes.
  std::size_t MaxAnswerBytes = 8U << 20U;
  /// The maximum number of keys kept as hashes after their answers expired.
  std::size_t MaxPastKeys = 1000000;
  /// How long the answer of a keyed run is kept after the run ended.
  duration KeyedRunRetention = std::chrono::minutes(10);
  /// How long the hash of a key is kept after that. Longer than the lifetime of
  /// a claim in the platform, so that an old claim never counts as unused.
  duration PastKeyRetention = std::chrono::hours(25);
  /// How long the record of an attempt is kept after it ended.
  duration AttemptRetention = std::chrono::seconds(10);
  /// The maximum time by which one call advances the ledger's clock.
  duration MaxTimeStep = std::chrono::milliseconds(200);

  bool operator==(const run_ledger_settings &) const = default;
};

/// The ledger's decision on an attempt to start a run.
enum class begin_verdict : std::uint8_t {
  /// Run it; it is now recorded as running.
  Run,
  /// The same request is already running; wait for its answer.
  Join,
  /// The same request has ended; answer() returns its answer.
  Ended,
  /// The attempt or its claim was fenced and must never run.
  Fenced,
  /// The ledger has no room to record it, so it must not run.
  Full,
  /// It has run already, but its answer has expired.
  Expired,
};

/// Records the runs on a node's upstream, for deduplication.
///
/// Every attempt is kept by its identifier for a short time, so that its sender
/// can query it over a new connection. A non-repeatable request is also kept by
/// its idempotency key: first with its answer, then as a 64-bit hash of the
/// key. No record is evicted early: a full ledger refuses new non-repeatable
/// requests.
///
/// The ledger has its own clock, which advances by at most a fixed step per
/// call, however late the call. A node that was paused therefore still has the
/// fences from before the pause when it reads messages that arrived during the
/// pause.
class run_ledger {
public:
  explicit run_ledger(run_ledger_settings Settings);

  run_ledger(const run_ledger &) = delete;
  run_ledger &operator=(const run_ledger &) = delete;

  /// Records the start of an attempt, unless the verdict is other than Run.
  /// @param Key the idempotency key; empty for a repeatable request.
  /// @param Claim the claim under which a keyed request runs, or 0.
  begin_verdict begin(const request_id &Run, const std::string &Key,
                      std::uint64_t Claim);

  /// Records the end of a running attempt.
  ///
  /// An attempt that ended NotRun leaves no record under its key, because it
  /// does not show whether another node ran the key.
  void end(const request_id &Run, const run_answer &Answer);

  /// Prevents an attempt that has no record yet from ever starting here.
  /// @returns false if the attempt already has a record.
  bool fence(const request_id &Run);

  /// Prevents runs of a key under this claim, or an earlier one, from ever
  /// starting here.
  /// @returns false if the key already has a run, its record has expired, or
  /// the ledger is full; nothing is guaranteed then.
  bool fenceClaim(const std::string &Key, std::uint64_t Claim);

  /// @returns the attempt that holds @p Key, or null if there is no record.
  const request_id *runOfKey(const std::string &Key) const;

  /// @returns the answer of an ended attempt, or null.
  const run_answer *answer(const request_id &Run) const;

  /// @returns whether an attempt has started and not ended.
  bool isRunning(const request_id &Run) const;

  /// Records that @p Run waits for, or was answered by, attempt @p Holder of
  /// the same key, so that a later query for @p Run gets the same answer.
  void join(const request_id &Run, const request_id &Holder);

  /// @returns the attempt that @p Run joined, or @p Run itself.
  request_id holderOf(const request_id &Run) const;

  /// Advances the ledger's clock and removes expired records.
  void advanceTime(instant Now);

  /// @returns the number of records kept by key.
  std::size_t keyedRuns() const { return Keyed.size(); }

private:
  enum class run_state : std::uint8_t { Running, Ended, Fenced };

  struct attempt {
    run_state State = run_state::Running;
    std::string Key;
    run_answer Answer;
    /// If not zero, the attempt of the same key that this attempt joined.
    request_id JoinedTo;
  };

  struct keyed_run {
    /// Zero if the record holds only a fence.
    request_id Run;
    /// Claims up to this one never start here; 0 if none was fenced.
    std::uint64_t FencedClaim = 0;
    /// In ledger time; valid once the run has ended, or for a fence.
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
  /// The ledger's own clock, which advances in steps of bounded length.
  duration LedgerTime{0};
  instant LastAdvance{};
};

} // namespace clementine

#endif
