#ifndef STAND_IN_PROCESS_CHILD_PROCESS_H
#define STAND_IN_PROCESS_CHILD_PROCESS_H

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace clementine::stand_in {

/// A process that ends at the latest with the thread that started it.
class child_process {
public:
  /// @param Program the path of the program.
  /// @param LogFile gets its output.
  child_process(const std::string &Program, std::vector<std::string> Arguments,
                const std::string &LogFile);
  ~child_process();

  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  void signal(int Number) const;

  /// Sends SIGTERM and waits.
  /// @returns the exit code; -1 after a signal or a minute.
  int stop();

  /// @returns the signal that ended the process, 0 if none did.
  int terminationSignal() const { return TerminationSignal; }
  /// @returns the exit code of a process that has ended by itself, -1 after a
  /// signal; nothing while it runs.
  std::optional<int> exitCode();

  /// Ends the process at once.
  void kill();

  bool isRunning() const { return Id > 0; }
  pid_t id() const { return Id; }

private:
  int wait();

  pid_t Id = -1;
  /// How it ended, if it did so by itself.
  int ExitStatus = -1;
  int TerminationSignal = 0;
};

} // namespace clementine::stand_in

#endif
