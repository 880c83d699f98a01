/// Chooses the instance for each call, decides whether a failed call may be
/// retried, and enforces the limits of callers.
///
/// All decisions are free of I/O and threads. The embedder passes in events and
/// the current time.
///
/// Needs clementine_core, and clementine_admission for ranks and levels.
#ifndef CLEMENTINE_ROUTING_H
#define CLEMENTINE_ROUTING_H

#include "clementine_routing/callers/caller_allocator.h"
#include "clementine_routing/callers/caller_limits.h"
#include "clementine_routing/callers/token_bucket.h"
#include "clementine_routing/retries/retry_budget.h"
#include "clementine_routing/retries/retry_policy.h"
#include "clementine_routing/retries/retry_throttle.h"
#include "clementine_routing/routes/admission_hints.h"
#include "clementine_routing/routes/expiring_level.h"
#include "clementine_routing/routes/route_candidate.h"
#include "clementine_routing/routes/route_chooser.h"

#endif
