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

/// One part of a running program that a supervisor starts and stops.
class supervised {
public:
  virtual ~supervised() = default;

  /// @returns a short name for logs.
  virtual const std::string &name() const = 0;

  /// Begins work. Called once, before stop().
  virtual void start() = 0;

  /// Ends work and waits until it has ended. Harmless when called again.
  virtual void stop() = 0;
};

/// Runs one duty on a thread of its own and restarts it after a failure.
///
/// The body runs until it returns or throws. A return is a regular end. After
/// an exception the body runs again once a pause has passed; when it has thrown
/// more often than the limit allows within the window, the fault is escalated
/// to the parent, which for the root means that the program ends.
class supervised_task final : public supervised {
public:
  /// How failures of the body are answered.
  struct restart_policy {
    /// The most restarts within the window.
    unsigned MostRestarts = 5;
    /// The span in which restarts are counted.
    duration Window = std::chrono::seconds(60);
    /// The wait before each restart.
    duration Pause = std::chrono::milliseconds(100);
  };

  using body_function = std::function<void(const std::atomic<bool> &Stopping)>;
  using wake_function = std::function<void()>;
  using escalation_handler = std::function<void(const std::string &DutyName,
                                                const std::string &Reason)>;

  /// @param Name a short name for logs and the thread.
  /// @param Body the work; it has to return soon after its argument turns true.
  /// @param Wake makes a waiting body look at its argument; may be empty.
  /// @param OnFault hears of a fault that restarts could not mend.
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
/// A supervisor is itself supervised, so parts form a tree.
class supervisor final : public supervised {
public:
  explicit supervisor(std::string Name);
  ~supervisor() override;

  supervisor(const supervisor &) = delete;
  supervisor &operator=(const supervisor &) = delete;

  /// Adds a child. Call before start().
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
