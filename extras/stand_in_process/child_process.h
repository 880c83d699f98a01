#ifndef STAND_IN_PROCESS_CHILD_PROCESS_H
#define STAND_IN_PROCESS_CHILD_PROCESS_H

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace clementine::stand_in {

/// A child process. It is killed when the thread that started it ends.
class child_process {
public:
  /// @param Program the path of the program.
  /// @param LogFile the file to which its output is appended.
  child_process(const std::string &Program, std::vector<std::string> Arguments,
                const std::string &LogFile);
  ~child_process();

  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  void signal(int Number) const;

  /// Sends SIGTERM and waits up to a minute, then kills the process.
  /// @returns the exit code, or -1 if a signal ended the process.
  int stop();

  /// @returns the signal that ended the process, or 0 if none did.
  int terminationSignal() const { return TerminationSignal; }
  /// @returns the exit code of a process that has exited, -1 if a signal ended
  /// it, or nothing while it is running.
  std::optional<int> exitCode();

  /// Sends SIGKILL and waits for the process to end.
  void kill();

  bool isRunning() const { return Id > 0; }
  pid_t id() const { return Id; }

private:
  int wait();

  pid_t Id = -1;
  /// The exit code, or -1 if a signal ended the process.
  int ExitStatus = -1;
  int TerminationSignal = 0;
};

} // namespace clementine::stand_in

#endif
