#include "clementine_proxy/node/store_duties.h"

#include "clementine_telemetry/clementine_telemetry.h"

#include <algorithm>

namespace clementine::proxy {

namespace {

const logger &log() {
  static const logger Log("store");
  return Log;
}

duration pauseAfter(unsigned Failures, const store_duty_settings &Settings) {
  constexpr unsigned MostDoublings = 8;
  return std::min<duration>(
      Settings.LongestPause,
      Settings.FirstPause *
          (1U << std::min(Failures > 0 ? Failures - 1 : 0U, MostDoublings)));
}

} // namespace

void interruptible_pause::sleep(duration Span,
                                const std::atomic<bool> &Stopping) {
  std::unique_lock Lock(Mutex);
  Changed.wait_for(Lock, Span, [&] { return IsWoken || Stopping; });
  IsWoken = false;
}

void interruptible_pause::wake() {
  {
    const std::lock_guard Lock(Mutex);
    IsWoken = true;
  }
  Changed.notify_all();
}

prefix_follower::prefix_follower(std::string Name, platform_store &Store,
                                 std::string Prefix,
                                 store_duty_settings Settings,
                                 listener Listener)
    : Name(std::move(Name)), Store(Store), Prefix(std::move(Prefix)),
      Settings(Settings), Listener(std::move(Listener)), Pace(Settings.Pace) {}

void prefix_follower::run(const std::atomic<bool> &Stopping) {
  while (!Stopping) {
    if (followOnce(Stopping)) {
      Failures = 0;
      continue;
    }
    ++Failures;
    Pause.sleep(pauseAfter(Failures, Settings), Stopping);
  }
}

void prefix_follower::wake() {
  EndsWatch = true;
  Pause.wake();
}

bool prefix_follower::followOnce(const std::atomic<bool> &Stopping) {
  EndsWatch = false;
  if (Stopping) // Its wake() may have come before the line above.
    return true;
  const auto Listed = Store.list(Prefix);
  if (!Listed) {
    setConnected(false, &Listed.error());
    return false;
  }
  setConnected(true, nullptr);
  Failures = 0;
  Listener.Listed(Listed.value().Entries);
  const auto Ended = Store.watch(
      Prefix, Listed.value().Revision + 1,
      [this, &Stopping](const platform_watch_batch &Batch) {
        for (const platform_event &Event : Batch.Events)
          Listener.Changed(Event);
        if (Batch.Events.empty())
          return;
        const duration Wait = Pace.next(monotonic_clock().now());
        if (Wait > duration(0))
          Pause.sleep(Wait, Stopping);
      },
      EndsWatch);
  if (Ended || Stopping)
    return true;
  log().info("watch ended", {{"duty", Name}, {"error", Ended.error().text()}});
  // What was missed is read at once.
  return true;
}

void prefix_follower::setConnected(bool IsNow, const platform_error *Error) {
  if (IsConnected == IsNow)
    return;
  IsConnected = IsNow;
  if (IsNow)
    log().info("store regained", {{"duty", Name}});
  else
    log().warning("store lost", {{"duty", Name}, {"error", Error->text()}});
  Listener.Connection(IsNow);
}

record_keeper::record_keeper(platform_store &Store, std::string Key,
                             store_duty_settings Settings,
                             std::function<void()> Regained)
    : Store(Store), Key(std::move(Key)), Settings(Settings),
      Regained(std::move(Regained)) {}

void record_keeper::publish(std::optional<node_record> Record) {
  {
    const std::lock_guard Lock(Mutex);
    if (Wanted == Record)
      return;
    Wanted = std::move(Record);
  }
  Pause.wake();
}

std::optional<node_record> record_keeper::wanted() {
  const std::lock_guard Lock(Mutex);
  return Wanted;
}

void record_keeper::run(const std::atomic<bool> &Stopping) {
  while (!Stopping) {
    const bool IsDone = keepUp();
    if (IsDone && Failures > 0) {
      log().info("store answers again", {{"failures", Failures}});
      Regained();
    }
    Failures = IsDone ? 0 : Failures + 1;
    Pause.sleep(IsDone ? Settings.RenewInterval
                       : pauseAfter(Failures, Settings),
                Stopping);
  }
}

bool record_keeper::keepUp() {
  const auto Target = wanted();
  if (!Target)
    return Written ? write(Target) : answers();
  if (!renew())
    return false;
  return Written == Target || write(Target);
}

bool record_keeper::answers() {
  const auto Present = Store.get(Key);
  if (!Present)
    failed("read", Present.error());
  return Present.has_value();
}

bool record_keeper::renew() {
  const instant Now = monotonic_clock().now();
  if (Lease != 0) {
    if (Now - RenewedAt < Settings.RenewInterval / 2)
      return true;
    const auto Kept = Store.renewLease(Lease);
    if (Kept) {
      RenewedAt = Now;
      return true;
    }
    if (Kept.error().Cause != platform_cause::LeaseNotFound) {
      failed("renewal", Kept.error());
      return false;
    }
    log().warning("lease has lapsed", {{"lease", Lease}});
    Lease = 0;
    Written.reset();
    Revision.reset();
  }
  const auto Granted = Store.grantLease(Settings.LeaseTime);
  if (!Granted) {
    failed("lease", Granted.error());
    return false;
  }
  Lease = Granted.value().Id;
  RenewedAt = Now;
  return true;
}

bool record_keeper::write(const std::optional<node_record> &Target) {
  if (!Revision) {
    const auto Present = Store.get(Key);
    if (!Present) {
      failed("read", Present.error());
      return false;
    }
    Revision = Present.value() ? Present.value()->ModRevision : 0;
  }
  platform_transaction Transaction;
  Transaction.Compares.push_back({Key, platform_compare::field::ModRevision,
                                  platform_compare::relation::Equal,
                                  *Revision});
  if (Target)
    Transaction.Puts.push_back({Key, Target->encoded(), Lease});
  else
    Transaction.Deletes.push_back(Key);
  const auto Committed = Store.commit(Transaction);
  if (!Committed) {
    Revision.reset();
    if (Committed.error().Cause == platform_cause::LeaseNotFound)
      Lease = 0;
    failed("write", Committed.error());
    return false;
  }
  if (!Committed.value().Succeeded) {
    Revision.reset();
    return false;
  }
  Revision = Target ? Committed.value().Revision : 0;
  Written = Target;
  log().info("record written",
             {{"key", Key},
              {"instance", Target ? Target->Instance : "(removed)"},
              {"revision", *Revision}});
  return true;
}

void record_keeper::failed(std::string_view Step, const platform_error &Error) {
  if (Failures == 0)
    log().warning("record not kept", {{"step", Step}, {"error", Error.text()}});
}

} // namespace clementine::proxy
