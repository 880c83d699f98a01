#ifndef CLEMENTINE_TESTS_STAND_IN_FREE_ENDPOINT_H
#define CLEMENTINE_TESTS_STAND_IN_FREE_ENDPOINT_H

#include "clementine_core/identity/identity.h"

/// @returns a loopback endpoint that nothing listens on now.
clementine::endpoint findFreeEndpoint();

#endif
