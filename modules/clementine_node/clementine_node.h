/// The process beside one upstream: all duties, their threads and the
/// supervisor tree.
///
/// Needs every other module.
#ifndef CLEMENTINE_NODE_H
#define CLEMENTINE_NODE_H

#include "clementine_node/node/node.h"

#endif
