#include "clementine_core/supervision/supervisor.h"

#include <algorithm>
#include <cassert>
#include <exception>
#include <utility>

#include <pthread.h>

namespace clementine {

namespace {

/// The kernel's limit on a thread name, without the terminating zero.
constexpr std::size_t MaxThreadNameLength = 15;

} // namespace

supervised_task::supervised_task(std::string Name, body_function Body,
                                 wake_function Wake, escalation_handler OnFault,
                                 restart_policy Policy)
    : Name(std::move(Name)), Body(std::move(Body)), Wake(std::move(Wake)),
      OnFault(std::move(OnFault)), Policy(Policy) {
  assert(this->Body && "a supervised task requires a body");
}

supervised_task::supervised_task(std::string Name, body_function Body,
                                 wake_function Wake, escalation_handler OnFault)
    : supervised_task(std::move(Name), std::move(Body), std::move(Wake),
                      std::move(OnFault), restart_policy{}) {}

supervised_task::~supervised_task() { supervised_task::stop(); }

void supervised_task::start() {
  assert(!Thread.joinable() && "a supervised task can be started only once");
  Thread = std::thread([this] { runUntilStopped(); });
  pthread_setname_np(Thread.native_handle(),
                     Name.substr(0, MaxThreadNameLength).c_str());
}

void supervised_task::stop() {
  Stopping = true;
  if (Wake)
    Wake();
  if (Thread.joinable())
    Thread.join();
}

void supervised_task::runUntilStopped() {
  std::vector<instant> Faults;
  while (!Stopping) {
    try {
      Body(Stopping);
      return;
    } catch (const std::exception &Fault) {
      if (!mayRestart(Faults)) {
        if (OnFault)
          OnFault(Name, Fault.what());
        return;
      }
    }
    std::this_thread::sleep_for(Policy.RestartDelay);
  }
}

bool supervised_task::mayRestart(std::vector<instant> &Faults) const {
  const instant Now = std::chrono::steady_clock::now();
  std::erase_if(Faults,
                [&](instant Fault) { return Now - Fault > Policy.Window; });
  Faults.push_back(Now);
  return Faults.size() <= Policy.MaxRestarts;
}

supervisor::supervisor(std::string Name) : Name(std::move(Name)) {}

supervisor::~supervisor() { supervisor::stop(); }

void supervisor::add(std::shared_ptr<supervised> Child) {
  assert(Started == 0 && "children must be added before start()");
  Children.push_back(std::move(Child));
}

void supervisor::start() {
  for (const auto &Child : Children) {
    Child->start();
    ++Started;
  }
}

void supervisor::stop() {
  while (Started > 0) {
    --Started;
    Children[Started]->stop();
  }
}

} // namespace clementine
