#ifndef CLEMENTINE_CORE_SUPERVISION_SUPERVISOR_H
#define CLEMENTINE_CORE_SUPERVISION_SUPERVISOR_H

#include "clementine_core/time/clock.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace clementine {

/// A component of a running program that a supervisor starts and stops.
class supervised {
public:
  virtual ~supervised() = default;

  /// @returns a short name for logs.
  virtual const std::string &name() const = 0;

  /// Starts the component. Called once, before stop().
  virtual void start() = 0;

  /// Stops the component and waits until it has ended. Further calls have no
  /// effect.
  virtual void stop() = 0;
};

/// Runs a function on its own thread and restarts it after a failure.
///
/// The body runs until it returns or throws. A return ends the task normally.
/// After an exception the body is restarted following a delay; when it has
/// thrown more often than the policy allows within the window, the fault is
/// passed to the handler given to the constructor and the task ends.
class supervised_task final : public supervised {
public:
  /// How the task is restarted after exceptions from the body.
  struct restart_policy {
    /// The maximum number of restarts within the window.
    unsigned MaxRestarts = 5;
    /// The sliding window over which failures are counted.
    duration Window = std::chrono::seconds(60);
    /// The delay before each restart.
    duration RestartDelay = std::chrono::milliseconds(100);
  };

  using body_function = std::function<void(const std::atomic<bool> &Stopping)>;
  using wake_function = std::function<void()>;
  using escalation_handler = std::function<void(const std::string &TaskName,
                                                const std::string &Reason)>;

  /// @param Name a short name for logs and the thread.
  /// @param Body the work; must return soon after its argument becomes true.
  /// @param Wake wakes a blocked body so that it checks its argument; may be
  /// empty.
  /// @param OnFault called when the restart limit is exceeded; may be empty.
  supervised_task(std::string Name, body_function Body, wake_function Wake,
                  escalation_handler OnFault, restart_policy Policy);
  supervised_task(std::string Name, body_function Body, wake_function Wake,
                  escalation_handler OnFault);
  ~supervised_task() override;

  supervised_task(const supervised_task &) = delete;
  supervised_task &operator=(const supervised_task &) = delete;

  const std::string &name() const override { return Name; }
  void start() override;
  void stop() override;

private:
  void runUntilStopped();
  bool mayRestart(std::vector<instant> &Faults) const;

  const std::string Name;
  const body_function Body;
  const wake_function Wake;
  const escalation_handler OnFault;
  const restart_policy Policy;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

/// Starts its children in order and stops them in the reverse order.
///
/// A supervisor is itself supervised, so components form a tree.
class supervisor final : public supervised {
public:
  explicit supervisor(std::string Name);
  ~supervisor() override;

  supervisor(const supervisor &) = delete;
  supervisor &operator=(const supervisor &) = delete;

  /// Must be called before start().
  void add(std::shared_ptr<supervised> Child);

  const std::string &name() const override { return Name; }
  void start() override;
  void stop() override;

private:
  const std::string Name;
  std::vector<std::shared_ptr<supervised>> Children;
  std::size_t Started = 0;
};

} // namespace clementine

#endif
