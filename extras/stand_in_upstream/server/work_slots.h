#ifndef STAND_IN_UPSTREAM_SERVER_WORK_SLOTS_H
#define STAND_IN_UPSTREAM_SERVER_WORK_SLOTS_H

#include "clementine_core/time/clock.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace clementine::stand_in {

/// The slots of an upstream with the requests that wait for one, first come
/// first served.
class work_slots {
public:
  /// One request's claim on a slot. Not copyable; it has to outlive its use.
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

  /// The numbers at one moment.
  struct usage {
    unsigned InUse = 0;
    unsigned Waiting = 0;
  };

  explicit work_slots(unsigned Slots) : Free(Slots), Slots(Slots) {}

  work_slots(const work_slots &) = delete;
  work_slots &operator=(const work_slots &) = delete;

  /// Waits for a slot until @p Deadline.
  wait_result acquire(claim &Claim, instant Deadline);

  /// Gives a granted slot back.
  void release();

  /// Waits while the slot is held, as work does.
  /// @returns whether the time passed without a cancellation.
  bool work(claim &Claim, instant Until);

  /// Ends the waits of @p Claim, now and later.
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
