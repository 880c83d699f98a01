/// Admission to one upstream: a learned concurrency limit, a short queue that
/// is strict by importance, and the level that tells others what gets in.
///
/// All decisions are free of I/O and threads; an embedder hands in events and
/// the time, and acts on what it gets back.
///
/// Needs clementine_core.
#ifndef CLEMENTINE_ADMISSION_H
#define CLEMENTINE_ADMISSION_H

#include "clementine_admission/gate/admission_gate.h"
#include "clementine_admission/gate/admission_level.h"
#include "clementine_admission/gate/admission_ticket.h"
#include "clementine_admission/gate/level_tracker.h"
#include "clementine_admission/gate/service_time.h"
#include "clementine_admission/gate/ticket_queue.h"
#include "clementine_admission/limits/adaptive_limiter.h"
#include "clementine_admission/limits/concurrency_limiter.h"
#include "clementine_admission/limits/static_limiter.h"
#include "clementine_admission/limits/unlimited.h"

#endif
