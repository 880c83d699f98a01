#ifndef CLEMENTINE_TESTS_STAND_IN_FREE_ENDPOINT_H
#define CLEMENTINE_TESTS_STAND_IN_FREE_ENDPOINT_H

#include "clementine_core/identity/identity.h"

/// @returns a loopback endpoint on which nothing listens at present.
clementine::endpoint findFreeEndpoint();

#endif
