#ifndef CLEMENTINE_NODE_PLATFORM_CLAIM_TASK_H
#define CLEMENTINE_NODE_PLATFORM_CLAIM_TASK_H

#include "clementine_core/clementine_core.h"
#include "clementine_node/platform/claim_store.h"

#include <functional>

namespace clementine {

/// Requests claims from the platform on its own thread.
///
/// After a failure further claims fail immediately for a short time, so that an
/// outage does not delay each request by the platform's timeout.
class claim_task final : public supervised, public claim_port {
public:
  /// Called on the task's thread.
  using result_listener = std::function<void(claim_result Result)>;

  /// @param Store may be null when no platform is configured; then no claim is
  /// ever granted. It has to outlive the task.
  claim_task(platform_store *Store, std::uint64_t RandomSeed,
             const clock &Clock, result_listener OnResult);
  ~claim_task() override;

  claim_task(const claim_task &) = delete;
  claim_task &operator=(const claim_task &) = delete;

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
  instant RetryAt{};
  supervised_task Task;
};

} // namespace clementine

#endif
