#ifndef CLEMENTINE_TELEMETRY_SPANS_OTLP_JSON_H
#define CLEMENTINE_TELEMETRY_SPANS_OTLP_JSON_H

#include "clementine_telemetry/spans/span.h"

#include <span>
#include <string>

namespace clementine {

/// The sender of spans; becomes the attributes of the OTLP resource.
struct span_resource {
  std::string ServiceName;
  /// The node's name.
  std::string InstanceId;
  std::string DataCentre;

  bool operator==(const span_resource &) const = default;
};

/// Encodes spans as an OTLP `ExportTraceServiceRequest` in JSON. Invalid UTF-8
/// in strings is replaced.
///
/// @see OpenTelemetry Protocol 1.0, JSON Protobuf encoding
std::string encodeOtlpJson(const span_resource &Resource,
                           std::span<const span> Spans);

} // namespace clementine

#endif
