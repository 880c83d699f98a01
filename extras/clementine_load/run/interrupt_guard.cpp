#include "clementine_load/run/interrupt_guard.h"

#include <csignal>
#include <ctime>
#include <utility>

#include <unistd.h>

namespace clementine::load {

namespace {

constexpr long SignalPollNanoseconds = 50'000'000;
constexpr int SignalExitBase = 128;

sigset_t watchedSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGTERM);
  return Signals;
}

} // namespace

interrupt_guard::interrupt_guard(std::function<void()> CleanUp)
    : CleanUp(std::move(CleanUp)) {
  const sigset_t Signals = watchedSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  Watcher = std::thread([this] { watch(); });
}

interrupt_guard::~interrupt_guard() {
  Stopping = true;
  Watcher.join();
}

void interrupt_guard::watch() const {
  const sigset_t Signals = watchedSignals();
  const timespec Timeout{0, SignalPollNanoseconds};
  while (!Stopping) {
    const int Signal = sigtimedwait(&Signals, nullptr, &Timeout);
    if (Signal <= 0)
      continue;
    CleanUp();
    ::_exit(SignalExitBase + Signal);
  }
}

} // namespace clementine::load
