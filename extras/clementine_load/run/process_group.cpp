#include "clementine_load/run/process_group.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <thread>

namespace clementine::load {

namespace {

constexpr std::chrono::milliseconds CheckInterval(10);
constexpr mode_t LogMode = 0644;
constexpr int SignalExitBase = 128;

} // namespace

process_group::~process_group() { killAll(); }

void process_group::killAll() {
  const std::lock_guard Lock(Mutex);
  for (const auto &[Name, Process] : Running) {
    ::kill(Process, SIGKILL);
    ::waitpid(Process, nullptr, 0);
  }
  Running.clear();
}

bool process_group::start(const std::string &Name,
                          const std::vector<std::string> &Command,
                          const std::string &LogPath) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Argument : Command)
    Arguments.push_back(const_cast<char *>(Argument.c_str()));
  Arguments.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogPath.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, LogMode);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  // The child must not inherit the signals that this program blocks.
  sigset_t Unblocked;
  sigemptyset(&Unblocked);
  posix_spawnattr_t Attributes;
  posix_spawnattr_init(&Attributes);
  posix_spawnattr_setsigmask(&Attributes, &Unblocked);
  posix_spawnattr_setflags(&Attributes, POSIX_SPAWN_SETSIGMASK);
  pid_t Process = 0;
  const int Failed = ::posix_spawnp(&Process, Arguments[0], &Actions,
                                    &Attributes, Arguments.data(), environ);
  posix_spawnattr_destroy(&Attributes);
  posix_spawn_file_actions_destroy(&Actions);
  if (Failed != 0)
    return false;
  const std::lock_guard Lock(Mutex);
  Running[Name] = Process;
  return true;
}

bool process_group::signal(const std::string &Name, int Signal) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Running.find(Name);
  return Found != Running.end() && ::kill(Found->second, Signal) == 0;
}

int process_group::await(const std::string &Name, duration Timeout) {
  const instant End = std::chrono::steady_clock::now() + Timeout;
  for (;;) {
    {
      const std::lock_guard Lock(Mutex);
      const auto Found = Running.find(Name);
      if (Found == Running.end())
        return -1;
      int Status = 0;
      if (::waitpid(Found->second, &Status, WNOHANG) == Found->second) {
        Running.erase(Found);
        return WIFEXITED(Status) ? WEXITSTATUS(Status)
                                 : SignalExitBase + WTERMSIG(Status);
      }
    }
    if (std::chrono::steady_clock::now() >= End)
      return -1;
    std::this_thread::sleep_for(CheckInterval);
  }
}

std::vector<std::string>
process_group::stop(const std::vector<std::string> &Names, duration Timeout) {
  std::vector<std::string> Killed;
  for (const std::string &Name : Names)
    signal(Name, SIGTERM);
  const instant End = std::chrono::steady_clock::now() + Timeout;
  for (const std::string &Name : Names) {
    const duration Remaining = End - std::chrono::steady_clock::now();
    if (await(Name, std::max(Remaining, duration(0))) != -1)
      continue;
    if (!signal(Name, SIGKILL))
      continue;
    Killed.push_back(Name);
    await(Name, std::chrono::seconds(1));
  }
  return Killed;
}

} // namespace clementine::load
