#ifndef CLEMENTINE_PROXY_NODE_CRITICAL_DUTY_H
#define CLEMENTINE_PROXY_NODE_CRITICAL_DUTY_H

#include "clementine_core/clementine_core.h"

#include <memory>
#include <string>

namespace clementine::proxy {

/// Makes a duty without which a node is of no use: if restarts do not mend it,
/// the process ends, and the deployment starts it anew.
std::shared_ptr<supervised>
makeCriticalDuty(const std::string &Name, supervised_task::body_function Body,
                 supervised_task::wake_function Wake);

} // namespace clementine::proxy

#endif
