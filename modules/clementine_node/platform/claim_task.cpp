#include "clementine_node/platform/claim_task.h"

#include <utility>

namespace clementine {

namespace {

constexpr std::size_t RequestCapacity = 1U << 13U;
constexpr std::chrono::milliseconds QueuePollInterval{500};
/// How long claims fail immediately after a failure of the platform.
constexpr std::chrono::milliseconds FailureBackoff{250};

} // namespace

claim_task::claim_task(platform_store *Store, std::uint64_t RandomSeed,
                       const clock &Clock, result_listener OnResult)
    : Store(Store), Clock(Clock), OnResult(std::move(OnResult)),
      Random(RandomSeed), Requests(RequestCapacity),
      Task(
          "claims",
          [this](const std::atomic<bool> &Stopping) { run(Stopping); },
          [this] { Requests.close(); }, {}) {}

claim_task::~claim_task() { claim_task::stop(); }

void claim_task::stop() { Task.stop(); }

void claim_task::requestClaim(claim_request Request) {
  const call_id Call = Request.Call;
  if (!Requests.tryPush(std::move(Request)))
    OnResult({Call, claim_status::Unavailable, 0, {}});
}

void claim_task::run(const std::atomic<bool> &Stopping) {
  while (!Stopping)
    for (const claim_request &Request : Requests.takeAll(QueuePollInterval))
      OnResult(decide(Request));
}

claim_result claim_task::decide(const claim_request &Request) {
  if (Store == nullptr || Clock.now() < RetryAt)
    return {Request.Call, claim_status::Unavailable, 0, {}};
  claim_store Claims(*Store, Random);
  claim_result Result = Claims.claim(Request);
  if (Result.Status == claim_status::Unavailable)
    RetryAt = Clock.now() + FailureBackoff;
  return Result;
}

} // namespace clementine
