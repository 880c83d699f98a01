/// Admission control for one upstream: an adaptive concurrency limit, a short
/// queue with strict priority by importance, and the admission level that is
/// returned to senders so that they can refuse early.
///
/// All decisions are free of I/O and threads. The embedder passes in events and
/// the current time and carries out the returned actions.
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
#include "clementine_admission/limits/first_answer_limiter.h"
#include "clementine_admission/limits/start_rate.h"
#include "clementine_admission/limits/static_limiter.h"
#include "clementine_admission/limits/unlimited.h"

#endif
