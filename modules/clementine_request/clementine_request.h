/// Request handling: the entry, which accepts requests from callers; the gate,
/// which runs requests on the upstream; the ledger, which records runs for
/// deduplication; and the engine, which combines them.
///
/// Performs no I/O. Depends on clementine_core, clementine_wire,
/// clementine_admission, clementine_routing, clementine_bundle and the trace
/// context of clementine_telemetry.
#ifndef CLEMENTINE_REQUEST_H
#define CLEMENTINE_REQUEST_H

#include "clementine_request/engine/request_engine.h"
#include "clementine_request/entry/entry_service.h"
#include "clementine_request/gate/gate_service.h"
#include "clementine_request/ledger/run_ledger.h"

#endif
