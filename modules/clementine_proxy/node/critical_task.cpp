#include "clementine_proxy/node/critical_task.h"

#include "clementine_telemetry/clementine_telemetry.h"

#include <cstdlib>
#include <utility>

namespace clementine::proxy {

std::shared_ptr<supervised>
makeCriticalTask(const std::string &Name, supervised_task::body_function Body,
                 supervised_task::wake_function Wake) {
  return std::make_shared<supervised_task>(
      Name, std::move(Body), std::move(Wake),
      [](const std::string &Task, const std::string &Reason) {
        logger("supervisor")
            .error("task still fails after restarts; aborting the process",
                   {{"duty", Task}, {"reason", Reason}});
        std::abort();
      });
}

} // namespace clementine::proxy
