#ifndef CLEMENTINE_LOAD_RUN_INTERRUPT_GUARD_H
#define CLEMENTINE_LOAD_RUN_INTERRUPT_GUARD_H

#include <atomic>
#include <functional>
#include <thread>

namespace clementine::load {

/// Ends the program on SIGINT or SIGTERM after a clean-up, so that no child
/// process stays running.
class interrupt_guard {
public:
  /// Blocks both signals for the calling thread and all threads that it starts
  /// later.
  /// @param CleanUp called on a separate thread before the program ends.
  explicit interrupt_guard(std::function<void()> CleanUp);
  ~interrupt_guard();

  interrupt_guard(const interrupt_guard &) = delete;
  interrupt_guard &operator=(const interrupt_guard &) = delete;

private:
  void watch() const;

  const std::function<void()> CleanUp;
  std::atomic<bool> Stopping{false};
  std::thread Watcher;
};

} // namespace clementine::load

#endif
