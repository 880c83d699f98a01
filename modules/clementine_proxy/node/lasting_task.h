#ifndef CLEMENTINE_PROXY_NODE_LASTING_TASK_H
#define CLEMENTINE_PROXY_NODE_LASTING_TASK_H

#include "clementine_core/clementine_core.h"
#include "clementine_proxy/node/fault_guard.h"

#include <memory>
#include <string>

namespace clementine::proxy {

/// Makes a task that the node cannot work without: its body is called again
/// after each exception, however often, so that no input ends the process.
/// @param RestartDelay how long to wait after an exception.
/// @param Faults has to outlive the task.
std::shared_ptr<supervised> makeLastingTask(const std::string &Name,
                                            supervised_task::body_function Body,
                                            supervised_task::wake_function Wake,
                                            duration RestartDelay,
                                            fault_guard &Faults);

} // namespace clementine::proxy

#endif
