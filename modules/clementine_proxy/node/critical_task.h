#ifndef CLEMENTINE_PROXY_NODE_CRITICAL_TASK_H
#define CLEMENTINE_PROXY_NODE_CRITICAL_TASK_H

#include "clementine_core/clementine_core.h"

#include <memory>
#include <string>

namespace clementine::proxy {

/// Makes a task that the node cannot work without. If it keeps failing after
/// restarts, the process aborts and the deployment starts it again.
std::shared_ptr<supervised>
makeCriticalTask(const std::string &Name, supervised_task::body_function Body,
                 supervised_task::wake_function Wake);

} // namespace clementine::proxy

#endif
