/// The basic types that all other modules share: time, randomness, identity,
/// typed results, bounded rings, the syntax of HTTP responses and the
/// supervisor tree.
///
/// Depends on no other module.
#ifndef CLEMENTINE_CORE_H
#define CLEMENTINE_CORE_H

#include "clementine_core/concurrency/bounded_ring.h"
#include "clementine_core/errors/result.h"
#include "clementine_core/http/response_line_check.h"
#include "clementine_core/http/response_syntax.h"
#include "clementine_core/identity/identity.h"
#include "clementine_core/random/random_source.h"
#include "clementine_core/supervision/supervisor.h"
#include "clementine_core/time/clock.h"

#endif
