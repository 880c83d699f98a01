#ifndef CLEMENTINE_LOAD_RUN_PROCESS_GROUP_H
#define CLEMENTINE_LOAD_RUN_PROCESS_GROUP_H

#include "clementine_core/time/clock.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <sys/types.h>

namespace clementine::load {

/// Starts processes and ends them by their identifiers, and no others.
class process_group {
public:
  process_group() = default;

  /// Ends what still runs.
  ~process_group();

  process_group(const process_group &) = delete;
  process_group &operator=(const process_group &) = delete;

  /// Starts a program under a name of its own.
  /// @param LogPath a file that gets its output.
  /// @returns whether it was started.
  bool start(const std::string &Name, const std::vector<std::string> &Command,
             const std::string &LogPath);

  /// Sends a signal to one process.
  /// @returns whether it is known and still runs.
  bool signal(const std::string &Name, int Signal);

  /// Waits until a process has ended.
  /// @returns its exit code, 128 plus the signal that ended it, or -1 if it
  /// still runs when @p Patience is over or is unknown.
  int await(const std::string &Name, duration Timeout);

  /// Asks all to end, in the order of @p Names, waits until @p Patience is
  /// over, and kills those that remain.
  /// @returns the names of those killed.
  std::vector<std::string> stop(const std::vector<std::string> &Names,
                                duration Timeout);

  /// Kills all that still run and waits for their ends.
  void killAll();

private:
  std::mutex Mutex;
  std::map<std::string, pid_t> Running;
};

} // namespace clementine::load

#endif
