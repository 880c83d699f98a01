#ifndef STAND_IN_UPSTREAM_SERVER_WORK_SLOTS_H
#define STAND_IN_UPSTREAM_SERVER_WORK_SLOTS_H

#include "clementine_core/time/clock.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace clementine::stand_in {

/// The slots of an upstream, and a FIFO queue of the requests that wait for
/// one.
class work_slots {
public:
  /// A request's claim on a slot. It has to outlive its use.
  class claim {
  public:
    claim() = default;
    claim(const claim &) = delete;
    claim &operator=(const claim &) = delete;

  private:
    friend class work_slots;
    std::condition_variable Changed;
    bool IsGranted = false;
    bool IsCancelled = false;
  };

  /// How a wait ended.
  enum class wait_result : std::uint8_t { Granted, Cancelled, TimedOut };

  /// The numbers of slots in use and of requests that wait.
  struct usage {
    unsigned InUse = 0;
    unsigned Waiting = 0;
  };

  explicit work_slots(unsigned Slots) : Free(Slots), Slots(Slots) {}

  work_slots(const work_slots &) = delete;
  work_slots &operator=(const work_slots &) = delete;

  /// Waits for a slot until @p Deadline.
  wait_result acquire(claim &Claim, instant Deadline);

  /// Releases a granted slot, or passes it to the first waiting request.
  void release();

  /// Simulates work in a granted slot by waiting until @p Until.
  /// @returns false if the claim was cancelled before then.
  bool work(claim &Claim, instant Until);

  /// Cancels the current wait of @p Claim and all later ones.
  void cancel(claim &Claim);

  /// @returns whether cancel() was called.
  bool isCancelled(const claim &Claim) const;

  usage current() const;

private:
  mutable std::mutex Mutex;
  std::deque<claim *> Waiting;
  unsigned Free;
  const unsigned Slots;
};

} // namespace clementine::stand_in

#endif
