#ifndef CLEMENTINE_CORE_CONCURRENCY_BOUNDED_RING_H
#define CLEMENTINE_CORE_CONCURRENCY_BOUNDED_RING_H

#include "clementine_core/time/clock.h"

#include <boost/circular_buffer.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace clementine {

/// Joins the threads of two duties: any number may push, one takes.
///
/// The ring never grows beyond its capacity, and a push to a full ring fails at
/// once, so a slow duty shows as a refusal and not as memory. It is not
/// copyable.
template <class Item> class bounded_ring {
public:
  /// Called after a push to an empty ring, on the pushing thread. It wakes a
  /// duty that waits in its own poll loop rather than in takeAll().
  using wake_function = std::function<void()>;

  /// @param Capacity the most items that wait at once.
  /// @param WakeTaker may be empty.
  explicit bounded_ring(std::size_t Capacity, wake_function WakeTaker = {})
      : Waiting(Capacity), WakeTaker(std::move(WakeTaker)) {}

  bounded_ring(const bounded_ring &) = delete;
  bounded_ring &operator=(const bounded_ring &) = delete;

  /// Adds an item unless the ring is full or closed.
  /// @returns whether it was taken in; if not, @p Value is untouched.
  bool tryPush(Item &&Value) {
    std::unique_lock Lock(Mutex);
    if (Closed || Waiting.full())
      return false;
    add(std::move(Value), Lock);
    return true;
  }

  /// Adds an item, waiting while the ring is full.
  /// @returns false when the ring is closed.
  bool push(Item Value) {
    std::unique_lock Lock(Mutex);
    NotFull.wait(Lock, [this] { return Closed || !Waiting.full(); });
    if (Closed)
      return false;
    add(std::move(Value), Lock);
    return true;
  }

  /// Waits until there are items, the ring is closed, or @p Patience is over.
  /// @returns all waiting items in the order of their pushes; empty after a
  /// timeout, or when the ring is closed and drained.
  std::vector<Item> takeAll(duration Patience) {
    std::unique_lock Lock(Mutex);
    NotEmpty.wait_for(Lock, Patience,
                      [this] { return Closed || !Waiting.empty(); });
    std::vector<Item> Taken(std::make_move_iterator(Waiting.begin()),
                            std::make_move_iterator(Waiting.end()));
    const bool WasFull = Waiting.full();
    Waiting.clear();
    Lock.unlock();
    if (WasFull)
      NotFull.notify_all();
    return Taken;
  }

  /// Refuses further pushes and wakes the taker. Items inside can still be
  /// taken.
  void close() {
    {
      const std::lock_guard Lock(Mutex);
      Closed = true;
    }
    NotEmpty.notify_all();
    NotFull.notify_all();
    if (WakeTaker)
      WakeTaker();
  }

  /// @returns whether close() was called.
  bool isClosed() const {
    const std::lock_guard Lock(Mutex);
    return Closed;
  }

private:
  /// Adds to a ring that has room, then wakes the taker if it may wait.
  void add(Item Value, std::unique_lock<std::mutex> &Lock) {
    const bool WasEmpty = Waiting.empty();
    Waiting.push_back(std::move(Value));
    Lock.unlock();
    if (!WasEmpty)
      return;
    NotEmpty.notify_one();
    if (WakeTaker)
      WakeTaker();
  }

  mutable std::mutex Mutex;
  std::condition_variable NotEmpty;
  std::condition_variable NotFull;
  boost::circular_buffer<Item> Waiting;
  wake_function WakeTaker;
  bool Closed = false;
};

} // namespace clementine

#endif
