#ifndef CLEMENTINE_NODE_PLATFORM_CLAIM_DUTY_H
#define CLEMENTINE_NODE_PLATFORM_CLAIM_DUTY_H

#include "clementine_core/clementine_core.h"
#include "clementine_node/platform/claim_store.h"

#include <functional>

namespace clementine {

/// Asks the platform for claims on a thread of its own.
///
/// After a failure further claims fail at once for a short time, so that an
/// outage does not hold each request for the platform's timeout.
class claim_duty final : public supervised, public claim_port {
public:
  /// Called on the duty's thread.
  using result_listener = std::function<void(claim_result Result)>;

  /// @param Store may be null when no platform is configured; then no claim is
  /// ever granted. It has to outlive the duty.
  claim_duty(platform_store *Store, std::uint64_t RandomSeed,
             const clock &Clock, result_listener OnResult);
  ~claim_duty() override;

  claim_duty(const claim_duty &) = delete;
  claim_duty &operator=(const claim_duty &) = delete;

  const std::string &name() const override { return Task.name(); }
  void start() override { Task.start(); }
  void stop() override;

  void requestClaim(claim_request Request) override;

private:
  void run(const std::atomic<bool> &Stopping);
  claim_result decide(const claim_request &Request);

  platform_store *const Store;
  const clock &Clock;
  const result_listener OnResult;
  seeded_random Random;
  bounded_ring<claim_request> Requests;
  instant TryAgainAt{};
  supervised_task Task;
};

} // namespace clementine

#endif
