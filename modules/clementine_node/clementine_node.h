/// The node process that runs on the same VM as one upstream: all tasks, their
/// threads and the supervisor tree.
///
/// Depends on every other module.
#ifndef CLEMENTINE_NODE_H
#define CLEMENTINE_NODE_H

#include "clementine_node/node/node.h"

#endif
