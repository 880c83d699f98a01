/// Telemetry of a program: logs (Boost.Log), metrics (Boost.Histogram,
/// Prometheus text) and spans (W3C trace context, OTLP/JSON over HTTP). The
/// headers include none of these libraries.
///
/// Needs clementine_core.
#ifndef CLEMENTINE_TELEMETRY_H
#define CLEMENTINE_TELEMETRY_H

#include "clementine_telemetry/logs/log_output.h"
#include "clementine_telemetry/logs/logger.h"
#include "clementine_telemetry/metrics/metrics.h"
#include "clementine_telemetry/metrics/metrics_registry.h"
#include "clementine_telemetry/spans/otlp_json.h"
#include "clementine_telemetry/spans/span.h"
#include "clementine_telemetry/spans/span_exporter.h"
#include "clementine_telemetry/spans/span_transport.h"
#include "clementine_telemetry/spans/trace_context.h"
#include "clementine_telemetry/spans/trace_sampler.h"

#endif
