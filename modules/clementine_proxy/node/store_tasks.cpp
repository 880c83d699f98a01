#include "clementine_proxy/node/store_tasks.h"

#include "clementine_telemetry/clementine_telemetry.h"

#include <algorithm>
#include <utility>

namespace clementine::proxy {

namespace {

const logger &log() {
  static const logger Log("store");
  return Log;
}

duration backoffAfter(unsigned Failures, const store_task_settings &Settings) {
  constexpr unsigned MaxDoublings = 8;
  return std::min<duration>(
      Settings.MaxBackoff,
      Settings.InitialBackoff *
          (1U << std::min(Failures > 0 ? Failures - 1 : 0U, MaxDoublings)));
}

void logRestored(const std::string &Duty, std::uint64_t Before,
                 std::uint64_t Now, std::string_view Reaction) {
  log().warning("store restored from an older copy", {{"duty", Duty},
                                                      {"before", Before},
                                                      {"era", Now},
                                                      {"reaction", Reaction}});
}

} // namespace

void interruptible_sleep::sleep(duration Span,
                                const std::atomic<bool> &Stopping) {
  std::unique_lock Lock(Mutex);
  Changed.wait_for(Lock, Span, [&] { return IsWoken || Stopping; });
  IsWoken = false;
}

void interruptible_sleep::wake() {
  {
    const std::lock_guard Lock(Mutex);
    IsWoken = true;
  }
  Changed.notify_all();
}

prefix_watcher::prefix_watcher(std::string Name, platform_store &Store,
                               std::string Prefix, store_task_settings Settings,
                               listener Listener)
    : Name(std::move(Name)), Store(Store), Prefix(std::move(Prefix)),
      Settings(Settings), Listener(std::move(Listener)),
      BatchBackoff(Settings.BatchBackoff),
      RelayedBatchBackoff(Settings.RelayedBatchBackoff) {}

void prefix_watcher::run(const std::atomic<bool> &Stopping) {
  while (!Stopping) {
    if (listAndWatch(Stopping)) {
      Failures = 0;
      continue;
    }
    ++Failures;
    Sleep.sleep(backoffAfter(Failures, Settings), Stopping);
  }
}

void prefix_watcher::wake() {
  CancelsWatch = true;
  Sleep.wake();
}

bool prefix_watcher::listAndWatch(const std::atomic<bool> &Stopping) {
  CancelsWatch = false;
  // The reset of CancelsWatch discards an earlier wake(), so a stop requested
  // before the reset has to be detected here.
  if (Stopping)
    return true;
  const auto Listed = Store.list(Prefix);
  if (!Listed) {
    setConnected(false, &Listed.error());
    return false;
  }
  setConnected(true, nullptr);
  Failures = 0;
  noteEra(Listed.value().Era);
  Listener.Listed(Listed.value());
  const bool IsFirst = !std::exchange(HasListed, true);
  if (IsFirst && !Listed.value().Entries.empty())
    Sleep.sleep(Settings.FirstWatchDelay, Stopping);
  const auto Ended = Store.watch(
      Prefix, Listed.value().Revision + 1,
      [this, &Stopping](const platform_watch_batch &Batch) {
        if (isOtherHistory(Era, Batch.Era)) {
          // Changes may be missing before these.
          CancelsWatch = true;
          return;
        }
        for (const platform_event &Event : Batch.Events)
          Listener.Changed(Event, Batch.Era);
        if (Batch.Events.empty())
          return;
        const duration Wait = delayAfterBatch();
        if (Wait > duration(0))
          Sleep.sleep(Wait, Stopping);
      },
      CancelsWatch);
  if (Ended || Stopping)
    return true;
  log().info("watch ended", {{"duty", Name}, {"error", Ended.error().text()}});
  // Returns true so that run() lists all entries again without a backoff: the
  // watch may have missed changes.
  return true;
}

void prefix_watcher::noteEra(store_era Found) {
  if (isOtherHistory(Era, Found)) {
    logRestored(Name, *Era, *Found, "has read all entries again");
    PromptUntil = monotonic_clock().now() + Settings.PromptAfterRestore;
    if (Listener.Restored)
      Listener.Restored();
  }
  if (Found)
    Era = Found;
}

duration prefix_watcher::delayAfterBatch() {
  const instant Now = monotonic_clock().now();
  if (Now < PromptUntil)
    return Settings.BatchBackoff.InitialDelay;
  return ReadsPromptly ? BatchBackoff.next(Now) : RelayedBatchBackoff.next(Now);
}

void prefix_watcher::setConnected(bool IsNow, const platform_error *Error) {
  if (IsConnected == IsNow)
    return;
  IsConnected = IsNow;
  if (IsNow)
    log().info("store regained", {{"duty", Name}});
  else
    log().warning("store lost", {{"duty", Name}, {"error", Error->text()}});
  Listener.Connection(IsNow);
}

record_publisher::record_publisher(platform_store &Store, std::string Key,
                                   store_task_settings Settings,
                                   std::function<void()> Recovered)
    : Store(Store), Key(std::move(Key)), Settings(Settings),
      Recovered(std::move(Recovered)) {}

void record_publisher::publish(std::optional<node_record> Record) {
  {
    const std::lock_guard Lock(Mutex);
    if (Desired == Record)
      return;
    Desired = std::move(Record);
  }
  Sleep.wake();
}

std::optional<node_record> record_publisher::desired() {
  const std::lock_guard Lock(Mutex);
  return Desired;
}

void record_publisher::run(const std::atomic<bool> &Stopping) {
  while (!Stopping) {
    const bool IsDone = synchronize();
    if (IsDone && Failures > 0)
      log().info("store answers again", {{"failures", Failures}});
    if (IsDone && (Failures > 0 || WasRestored)) {
      WasRestored = false;
      Recovered();
    }
    Failures = IsDone ? 0 : Failures + 1;
    Sleep.sleep(IsDone ? Settings.RenewInterval
                       : backoffAfter(Failures, Settings),
                Stopping);
  }
}

bool record_publisher::synchronize() {
  const auto Target = desired();
  if (!Target)
    return Written ? write(Target) : isStoreReachable();
  if (!ensureLease())
    return false;
  // Without a revision it is not known what the store holds.
  return (Written == Target && Revision) || write(Target);
}

bool record_publisher::isStoreReachable() {
  const instant Now = monotonic_clock().now();
  if (ReachedAt == instant())
    ReachedAt = Now; // The watchers call the store at the start.
  if (Failures == 0 && Now - ReachedAt < Settings.IntervalsBetweenChecks *
                                             Settings.RenewInterval)
    return true;
  const auto Present = Store.get(Key);
  if (Present)
    ReachedAt = Now;
  else
    logFailure("read", Present.error());
  return Present.has_value();
}

bool record_publisher::ensureLease() {
  const bool IsDue =
      RenewsNow.exchange(false) ||
      monotonic_clock().now() - RenewedAt >= Settings.RenewInterval / 2;
  if (Lease != 0 && IsDue && !renewLease())
    return false;
  return Lease != 0 || grantLease();
}

/// @returns whether the store answered; Lease is 0 if the lease is lost.
bool record_publisher::renewLease() {
  const instant Now = monotonic_clock().now();
  const auto Kept = Store.renewLease(Lease);
  if (Kept) {
    RenewedAt = Now;
    ReachedAt = Now;
    noteEra(Kept.value().Era);
    return true;
  }
  if (Kept.error().Cause != platform_cause::LeaseNotFound) {
    logFailure("renewal", Kept.error());
    return false;
  }
  log().warning("lease expired", {{"lease", Lease}});
  // The record was removed together with its lease.
  Lease = 0;
  Written.reset();
  Revision = 0;
  return true;
}

bool record_publisher::grantLease() {
  const instant Now = monotonic_clock().now();
  const auto Granted = Store.grantLease(Settings.LeaseDuration);
  if (!Granted) {
    logFailure("lease", Granted.error());
    return false;
  }
  noteEra(Granted.value().Era);
  Lease = Granted.value().Id;
  RenewedAt = Now;
  return true;
}

/// Gives up the lease and the revision if they are of another history: their
/// numbers may have been given out again.
/// @returns whether they are still valid.
bool record_publisher::noteEra(store_era Found) {
  const bool IsSame = !isOtherHistory(Era, Found);
  if (!IsSame) {
    logRestored("record", *Era, *Found, "writes the record again");
    Lease = 0;
    Revision.reset();
    WasRestored = true;
  }
  if (Found)
    Era = Found;
  return IsSame;
}

bool record_publisher::readRevision() {
  const auto Present = Store.get(Key);
  if (!Present) {
    logFailure("read", Present.error());
    return false;
  }
  Revision = Present.value() ? Present.value()->ModRevision : 0;
  return true;
}

/// @returns nothing if the store failed; Revision is then unknown.
std::optional<platform_commit>
record_publisher::commit(const std::optional<node_record> &Target) {
  platform_transaction Transaction;
  Transaction.Compares.push_back({Key, platform_compare::field::ModRevision,
                                  platform_compare::relation::Equal,
                                  *Revision});
  if (Target)
    Transaction.Puts.push_back({Key, Target->encoded(), Lease});
  else
    Transaction.Deletes.push_back(Key);
  const auto Committed = Store.commit(Transaction);
  if (Committed)
    return Committed.value();
  Revision.reset();
  if (Committed.error().Cause == platform_cause::LeaseNotFound)
    Lease = 0;
  logFailure("write", Committed.error());
  return std::nullopt;
}

bool record_publisher::write(const std::optional<node_record> &Target) {
  if (!Revision && !readRevision())
    return false;
  auto Committed = commit(Target);
  if (Committed && !Committed->Succeeded) {
    // Another write came first: that of a former process, as a rule.
    const auto &Found = Committed->Entries;
    Revision = Found.empty() ? 0 : Found.front().ModRevision;
    Committed = commit(Target);
  }
  if (!Committed || !noteEra(Committed->Era))
    return false;
  if (!Committed->Succeeded) {
    Revision.reset();
    return false;
  }
  Revision = Target ? Committed->Revision : 0;
  Written = Target;
  ReachedAt = monotonic_clock().now();
  log().info("record written",
             {{"key", Key},
              {"instance", Target ? Target->Instance : "(removed)"},
              {"revision", *Revision}});
  return true;
}

void record_publisher::logFailure(std::string_view Step,
                                  const platform_error &Error) {
  if (Failures == 0)
    log().warning("cannot update the node's record",
                  {{"step", Step}, {"error", Error.text()}});
}

} // namespace clementine::proxy
