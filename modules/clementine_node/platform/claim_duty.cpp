#include "clementine_node/platform/claim_duty.h"

#include <utility>

namespace clementine {

namespace {

constexpr std::size_t RequestCapacity = 1U << 13U;
constexpr std::chrono::milliseconds TakeInterval{500};
/// How long claims fail at once after the platform failed.
constexpr std::chrono::milliseconds FailurePause{250};

} // namespace

claim_duty::claim_duty(platform_store *Store, std::uint64_t RandomSeed,
                       const clock &Clock, result_listener OnResult)
    : Store(Store), Clock(Clock), OnResult(std::move(OnResult)),
      Random(RandomSeed), Requests(RequestCapacity),
      Task(
          "claims",
          [this](const std::atomic<bool> &Stopping) { run(Stopping); },
          [this] { Requests.close(); }, {}) {}

claim_duty::~claim_duty() { claim_duty::stop(); }

void claim_duty::stop() { Task.stop(); }

void claim_duty::requestClaim(claim_request Request) {
  const call_id Call = Request.Call;
  if (!Requests.tryPush(std::move(Request)))
    OnResult({Call, claim_status::Unavailable, 0, {}});
}

void claim_duty::run(const std::atomic<bool> &Stopping) {
  while (!Stopping)
    for (const claim_request &Request : Requests.takeAll(TakeInterval))
      OnResult(decide(Request));
}

claim_result claim_duty::decide(const claim_request &Request) {
  if (Store == nullptr || Clock.now() < TryAgainAt)
    return {Request.Call, claim_status::Unavailable, 0, {}};
  claim_store Claims(*Store, Random);
  claim_result Result = Claims.claim(Request);
  if (Result.Status == claim_status::Unavailable)
    TryAgainAt = Clock.now() + FailurePause;
  return Result;
}

} // namespace clementine
