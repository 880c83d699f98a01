#include "stand_in_upstream/server/work_slots.h"

#include <algorithm>

namespace clementine::stand_in {

work_slots::wait_result work_slots::acquire(claim &Claim, instant Deadline) {
  std::unique_lock Lock(Mutex);
  if (Claim.IsCancelled)
    return wait_result::Cancelled;
  if (Free > 0 && Waiting.empty()) {
    --Free;
    return wait_result::Granted;
  }
  Waiting.push_back(&Claim);
  Claim.Changed.wait_until(
      Lock, Deadline, [&] { return Claim.IsGranted || Claim.IsCancelled; });
  if (Claim.IsGranted)
    return wait_result::Granted;
  std::erase(Waiting, &Claim);
  return Claim.IsCancelled ? wait_result::Cancelled : wait_result::TimedOut;
}

void work_slots::release() {
  const std::lock_guard Lock(Mutex);
  if (Waiting.empty()) {
    ++Free;
    return;
  }
  claim &Next = *Waiting.front();
  Waiting.pop_front();
  Next.IsGranted = true;
  Next.Changed.notify_all();
}

bool work_slots::work(claim &Claim, instant Until) {
  std::unique_lock Lock(Mutex);
  return !Claim.Changed.wait_until(Lock, Until,
                                   [&] { return Claim.IsCancelled; });
}

void work_slots::cancel(claim &Claim) {
  const std::lock_guard Lock(Mutex);
  Claim.IsCancelled = true;
  Claim.Changed.notify_all();
}

bool work_slots::isCancelled(const claim &Claim) const {
  const std::lock_guard Lock(Mutex);
  return Claim.IsCancelled;
}

work_slots::usage work_slots::current() const {
  const std::lock_guard Lock(Mutex);
  return {Slots - Free, static_cast<unsigned>(Waiting.size())};
}

} // namespace clementine::stand_in
