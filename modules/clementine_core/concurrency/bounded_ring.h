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

/// A bounded queue between threads, with many producers and one consumer.
///
/// The ring never grows beyond its capacity. tryPush() to a full ring fails at
/// once, so a slow consumer leads to refused items rather than memory growth.
/// It is not copyable.
template <class Item> class bounded_ring {
public:
  /// Called on the producer's thread after a push to an empty ring, and on the
  /// closing thread by close(). Wakes a consumer that waits in its own poll
  /// loop rather than in takeAll().
  using wake_function = std::function<void()>;

  /// @param Capacity the maximum number of queued items.
  /// @param WakeConsumer may be empty.
  explicit bounded_ring(std::size_t Capacity, wake_function WakeConsumer = {})
      : Items(Capacity), WakeConsumer(std::move(WakeConsumer)) {}

  bounded_ring(const bounded_ring &) = delete;
  bounded_ring &operator=(const bounded_ring &) = delete;

  /// Adds an item unless the ring is full or closed.
  /// @returns whether the item was added; if not, @p Value is unchanged.
  bool tryPush(Item &&Value) {
    std::unique_lock Lock(Mutex);
    if (Closed || Items.full())
      return false;
    add(std::move(Value), Lock);
    return true;
  }

  /// Adds an item, blocking while the ring is full.
  /// @returns false if the ring is closed.
  bool push(Item Value) {
    std::unique_lock Lock(Mutex);
    NotFull.wait(Lock, [this] { return Closed || !Items.full(); });
    if (Closed)
      return false;
    add(std::move(Value), Lock);
    return true;
  }

  /// Waits until there are items, the ring is closed, or @p Timeout expires.
  /// @returns all queued items in the order in which they were pushed; empty
  /// after a timeout, or when the ring is closed and drained.
  std::vector<Item> takeAll(duration Timeout) {
    std::unique_lock Lock(Mutex);
    NotEmpty.wait_for(Lock, Timeout,
                      [this] { return Closed || !Items.empty(); });
    std::vector<Item> Taken(std::make_move_iterator(Items.begin()),
                            std::make_move_iterator(Items.end()));
    const bool WasFull = Items.full();
    Items.clear();
    Lock.unlock();
    if (WasFull)
      NotFull.notify_all();
    return Taken;
  }

  /// Refuses further pushes and wakes the consumer and blocked producers. Items
  /// already queued can still be taken.
  void close() {
    {
      const std::lock_guard Lock(Mutex);
      Closed = true;
    }
    NotEmpty.notify_all();
    NotFull.notify_all();
    if (WakeConsumer)
      WakeConsumer();
  }

  bool isClosed() const {
    const std::lock_guard Lock(Mutex);
    return Closed;
  }

private:
  /// Adds to a ring that is not full; wakes the consumer if the ring was empty.
  void add(Item Value, std::unique_lock<std::mutex> &Lock) {
    const bool WasEmpty = Items.empty();
    Items.push_back(std::move(Value));
    Lock.unlock();
    if (!WasEmpty)
      return;
    NotEmpty.notify_one();
    if (WakeConsumer)
      WakeConsumer();
  }

  mutable std::mutex Mutex;
  std::condition_variable NotEmpty;
  std::condition_variable NotFull;
  boost::circular_buffer<Item> Items;
  wake_function WakeConsumer;
  bool Closed = false;
};

} // namespace clementine

#endif
