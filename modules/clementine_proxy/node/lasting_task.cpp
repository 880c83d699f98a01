#include "clementine_proxy/node/lasting_task.h"

#include <thread>
#include <utility>

namespace clementine::proxy {

std::shared_ptr<supervised> makeLastingTask(const std::string &Name,
                                            supervised_task::body_function Body,
                                            supervised_task::wake_function Wake,
                                            duration RestartDelay,
                                            fault_guard &Faults) {
  auto Restarting = [Name, Body = std::move(Body), RestartDelay,
                     &Faults](const std::atomic<bool> &Stopping) {
    while (!Stopping && !Faults.run(Name, "", [&] { Body(Stopping); }))
      std::this_thread::sleep_for(RestartDelay);
  };
  return std::make_shared<supervised_task>(Name, std::move(Restarting),
                                           std::move(Wake), nullptr);
}

} // namespace clementine::proxy
