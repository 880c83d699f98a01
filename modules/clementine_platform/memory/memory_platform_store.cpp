#include "clementine_platform/memory/memory_platform_store.h"

#include <algorithm>
#include <utility>

namespace clementine {

namespace {

/// The maximum number of events kept for watches.
constexpr std::size_t HistoryLimit = 10000;

/// How often a watch checks its stop flag.
constexpr duration StopCheckInterval = std::chrono::milliseconds(20);

platform_error refused(platform_cause Cause, std::string Detail) {
  return {Cause, platform_effect::NotApplied, 0, std::move(Detail)};
}

} // namespace

memory_platform_store::memory_platform_store(const clock &Time)
    : Time(Time), Keys(HistoryLimit) {}

result<std::optional<platform_entry>, platform_error>
memory_platform_store::get(const std::string &Key) {
  const std::lock_guard Lock(Mutex);
  Keys.expireLeases(Time.now());
  return Keys.get(Key);
}

result<platform_range, platform_error>
memory_platform_store::list(const std::string &Prefix) {
  const std::lock_guard Lock(Mutex);
  Keys.expireLeases(Time.now());
  return Keys.list(Prefix);
}

result<platform_commit, platform_error>
memory_platform_store::commit(const platform_transaction &Transaction) {
  const std::lock_guard Lock(Mutex);
  Keys.expireLeases(Time.now());
  auto Commit = Keys.commit(Transaction);
  Changed.notify_all();
  if (!Commit)
    return refused(platform_cause::Refused,
                   "unknown lease, or a key is changed twice");
  return std::move(*Commit);
}

result<platform_lease, platform_error>
memory_platform_store::grantLease(std::chrono::seconds TimeToLive) {
  const std::lock_guard Lock(Mutex);
  if (TimeToLive < std::chrono::seconds(1))
    return refused(platform_cause::Refused,
                   "the time to live is less than one second");
  return Keys.grantLease(TimeToLive, Time.now());
}

result<platform_lease, platform_error>
memory_platform_store::renewLease(lease_id Lease) {
  const std::lock_guard Lock(Mutex);
  const auto Kept = Keys.renewLease(Lease, Time.now());
  if (!Kept)
    return refused(platform_cause::LeaseNotFound, "");
  return *Kept;
}

result<void, platform_error>
memory_platform_store::revokeLease(lease_id Lease) {
  const std::lock_guard Lock(Mutex);
  if (!Keys.revokeLease(Lease))
    return refused(platform_cause::LeaseNotFound, "");
  Changed.notify_all();
  return success();
}

result<void, platform_error> memory_platform_store::watch(
    const std::string &Prefix, platform_revision FromRevision,
    const watch_listener &Listener, const std::atomic<bool> &Stopping) {
  platform_revision Next = FromRevision != 0 ? FromRevision : revision() + 1;
  while (!Stopping) {
    const auto Batch = awaitEvents(Prefix, Next, StopCheckInterval);
    if (!Batch)
      return refused(platform_cause::Compacted, "");
    if (!Batch->Events.empty())
      Listener(*Batch);
    Next = std::max(Next, Batch->Revision + 1);
  }
  return success();
}

void memory_platform_store::expireAllLeases() {
  const std::lock_guard Lock(Mutex);
  Keys.expireAllLeases();
  Changed.notify_all();
}

keyspace memory_platform_store::copy() {
  const std::lock_guard Lock(Mutex);
  return Keys;
}

void memory_platform_store::restore(const keyspace &Copy) {
  const std::lock_guard Lock(Mutex);
  Keys = Copy;
  Keys.renewAllLeases(Time.now());
  Changed.notify_all();
}

platform_revision memory_platform_store::revision() {
  const std::lock_guard Lock(Mutex);
  return Keys.revision();
}

std::optional<platform_watch_batch>
memory_platform_store::awaitEvents(const std::string &Prefix,
                                   platform_revision FromRevision,
                                   duration Timeout) {
  std::unique_lock Lock(Mutex);
  Changed.wait_for(Lock, Timeout,
                   [&] { return Keys.revision() >= FromRevision; });
  Keys.expireLeases(Time.now());
  return Keys.eventsSince(Prefix, FromRevision);
}

} // namespace clementine
