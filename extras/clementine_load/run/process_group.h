#ifndef CLEMENTINE_LOAD_RUN_PROCESS_GROUP_H
#define CLEMENTINE_LOAD_RUN_PROCESS_GROUP_H

#include "clementine_core/time/clock.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <sys/types.h>

namespace clementine::load {

/// Starts processes and ends only these, by their process identifiers.
class process_group {
public:
  process_group() = default;

  /// Kills all processes that still run.
  ~process_group();

  process_group(const process_group &) = delete;
  process_group &operator=(const process_group &) = delete;

  /// Starts a program.
  /// @param Name a unique name for the other functions.
  /// @param LogPath the file to which its output is appended.
  /// @returns whether it was started.
  bool start(const std::string &Name, const std::vector<std::string> &Command,
             const std::string &LogPath);

  /// Sends a signal to one process.
  /// @returns whether the process is known and the signal was sent.
  bool signal(const std::string &Name, int Signal);

  /// Waits until a process has ended.
  /// @returns its exit code, 128 plus the signal that ended it, or -1 if it is
  /// unknown or still runs after @p Timeout.
  int await(const std::string &Name, duration Timeout);

  /// Sends SIGTERM to the processes in the order of @p Names, waits for up to
  /// @p Timeout, and kills those that still run.
  /// @returns the names of the killed processes.
  std::vector<std::string> stop(const std::vector<std::string> &Names,
                                duration Timeout);

  /// Kills all processes that still run and waits for their ends.
  void killAll();

private:
  std::mutex Mutex;
  std::map<std::string, pid_t> Running;
};

} // namespace clementine::load

#endif
