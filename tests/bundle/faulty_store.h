#ifndef CLEMENTINE_TESTS_BUNDLE_FAULTY_STORE_H
#define CLEMENTINE_TESTS_BUNDLE_FAULTY_STORE_H

#include "clementine_platform/clementine_platform.h"

#include <deque>
#include <functional>

namespace clementine::samples {

/// The fault injected into one call.
enum class store_fault : std::uint8_t {
  None,
  /// No connection; the call has no effect, and the caller knows that.
  Unreachable,
  /// The request is lost, so the call has no effect; the caller cannot know.
  LostBeforeEffect,
  /// The answer is lost after the write has taken effect.
  LostAfterEffect,
  /// A read returns the state before the last StaleWrites writes.
  /// Transactions are never stale.
  StaleRead,
};

constexpr unsigned StoreFaults = 5;

/// A platform_store that injects a planned fault into each call.
class faulty_store final : public platform_store {
public:
  /// The faults of the next calls, in order; no faults after the last one.
  std::deque<store_fault> Faults;
  /// Called once, before the next transaction is executed.
  std::function<void()> BeforeCommit;
  /// How many writes a stale read lags behind.
  std::size_t StaleWrites = 1;

  result<std::optional<platform_entry>, platform_error>
  get(const std::string &Key) override {
    const store_fault Fault = nextFault();
    if (isLoss(Fault))
      return makeError(Fault);
    return storeFor(Fault).get(Key);
  }

  result<platform_range, platform_error>
  list(const std::string &Prefix) override {
    const store_fault Fault = nextFault();
    if (isLoss(Fault))
      return makeError(Fault);
    return storeFor(Fault).list(Prefix);
  }

  result<platform_commit, platform_error>
  commit(const platform_transaction &Transaction) override {
    const store_fault Fault = nextFault();
    if (BeforeCommit)
      std::exchange(BeforeCommit, nullptr)();
    if (Fault == store_fault::Unreachable ||
        Fault == store_fault::LostBeforeEffect)
      return makeError(Fault);
    auto Answer = Newest.commit(Transaction);
    if (Answer.value().Succeeded && !Transaction.Puts.empty())
      Pending.push_back(Transaction);
    for (; Pending.size() > StaleWrites; Pending.pop_front())
      static_cast<void>(Lagging.commit(Pending.front()));
    if (Fault == store_fault::LostAfterEffect)
      return makeError(Fault);
    return Answer;
  }

  result<platform_lease, platform_error>
  grantLease(std::chrono::seconds TimeToLive) override {
    return Newest.grantLease(TimeToLive);
  }
  result<platform_lease, platform_error> renewLease(lease_id Lease) override {
    return Newest.renewLease(Lease);
  }
  result<void, platform_error> revokeLease(lease_id Lease) override {
    return Newest.revokeLease(Lease);
  }
  result<void, platform_error>
  watch(const std::string &Prefix, platform_revision FromRevision,
        const watch_listener &Listener,
        const std::atomic<bool> &Stopping) override {
    return Newest.watch(Prefix, FromRevision, Listener, Stopping);
  }

private:
  store_fault nextFault() {
    if (Faults.empty())
      return store_fault::None;
    const store_fault Fault = Faults.front();
    Faults.pop_front();
    return Fault;
  }

  static bool isLoss(store_fault Fault) {
    return Fault != store_fault::None && Fault != store_fault::StaleRead;
  }

  static platform_error makeError(store_fault Fault) {
    if (Fault == store_fault::Unreachable)
      return {platform_cause::Unreachable, platform_effect::NotApplied};
    return {platform_cause::TimedOut, platform_effect::Unknown};
  }

  memory_platform_store &storeFor(store_fault Fault) {
    return Fault == store_fault::StaleRead ? Lagging : Newest;
  }

  monotonic_clock Time;
  memory_platform_store Newest{Time};
  /// Lags behind Newest by the writes in Pending.
  memory_platform_store Lagging{Time};
  std::deque<platform_transaction> Pending;
};

} // namespace clementine::samples

#endif
