/// The life of a request: the entry that faces callers, the gate that faces an
/// upstream, the ledger of what has run, and the engine that joins them.
///
/// Free of I/O. Needs clementine_core, clementine_wire, clementine_admission,
/// clementine_routing, clementine_bundle and the trace context of
/// clementine_telemetry.
#ifndef CLEMENTINE_REQUEST_H
#define CLEMENTINE_REQUEST_H

#include "clementine_request/engine/request_engine.h"
#include "clementine_request/entry/entry_service.h"
#include "clementine_request/gate/gate_service.h"
#include "clementine_request/ledger/run_ledger.h"

#endif
