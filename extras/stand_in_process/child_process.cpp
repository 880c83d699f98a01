#include "stand_in_process/child_process.h"

#include <array>
#include <cerrno>
#include <chrono>
#include <system_error>
#include <thread>

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace clementine::stand_in {

child_process::child_process(const std::string &Program,
                             std::vector<std::string> Arguments,
                             const std::string &LogFile) {
  std::vector<char *> Raw;
  std::string Name = Program;
  Raw.push_back(Name.data());
  for (std::string &Argument : Arguments)
    Raw.push_back(Argument.data());
  Raw.push_back(nullptr);
  // Until it has called exec, the child holds copies of this process's sockets,
  // so that the address of a server which is closed meanwhile stays in use.
  std::array<int, 2> Started{};
  if (pipe2(Started.data(), O_CLOEXEC) != 0)
    throw std::system_error(errno, std::generic_category(), "pipe2");
  Id = fork();
  if (Id != 0) {
    close(Started[1]);
    char Byte = 0;
    while (read(Started[0], &Byte, 1) < 0 && errno == EINTR)
      continue;
    close(Started[0]);
    return;
  }
  // The child is killed when the thread that started it ends, even if that
  // thread is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Log = open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  execv(Name.c_str(), Raw.data());
  _exit(127);
}

child_process::~child_process() { kill(); }

void child_process::signal(int Number) const {
  if (isRunning())
    ::kill(Id, Number);
}

int child_process::stop() {
  signal(SIGTERM);
  return wait();
}

void child_process::kill() {
  if (!isRunning())
    return;
  signal(SIGKILL);
  waitpid(Id, nullptr, 0);
  Id = -1;
}

std::optional<int> child_process::exitCode() {
  if (!isRunning())
    return ExitStatus;
  int Status = 0;
  if (waitpid(Id, &Status, WNOHANG) != Id)
    return std::nullopt;
  Id = -1;
  ExitStatus = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  TerminationSignal = WIFSIGNALED(Status) ? WTERMSIG(Status) : 0;
  return ExitStatus;
}

int child_process::wait() {
  if (!isRunning())
    return -1;
  const auto End = std::chrono::steady_clock::now() + std::chrono::minutes(1);
  while (std::chrono::steady_clock::now() < End) {
    if (const auto Code = exitCode())
      return *Code;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  kill();
  return -1;
}

} // namespace clementine::stand_in
