#include "clementine_telemetry/spans/otlp_json.h"

#include <nlohmann/json.hpp>

namespace clementine {

namespace {

using json = nlohmann::json;

constexpr int OtlpKindInternal = 1;

json attribute(const std::string &Key, json Value) {
  return {{"key", Key}, {"value", std::move(Value)}};
}

json textAttribute(const std::string &Key, const std::string &Text) {
  return attribute(Key, {{"stringValue", Text}});
}

/// Encodes each attribute type as OTLP requires: 64-bit numbers as strings.
struct attribute_value {
  json operator()(const std::string &Text) const {
    return {{"stringValue", Text}};
  }
  json operator()(std::int64_t Number) const {
    return {{"intValue", std::to_string(Number)}};
  }
  json operator()(bool Flag) const { return {{"boolValue", Flag}}; }
};

json encodeSpan(const span &Span) {
  const auto EndUnixNanoseconds =
      Span.StartUnixNanoseconds +
      static_cast<std::uint64_t>(Span.Duration.count());
  json Attributes = json::array();
  for (const span_attribute &Attribute : Span.Attributes)
    Attributes.push_back(attribute(
        Attribute.Key, std::visit(attribute_value{}, Attribute.Value)));
  json Encoded = {
      {"traceId", Span.Trace.text()},
      {"spanId", Span.Id.text()},
      {"name", Span.Name},
      {"kind", OtlpKindInternal + static_cast<int>(Span.Kind)},
      {"startTimeUnixNano", std::to_string(Span.StartUnixNanoseconds)},
      {"endTimeUnixNano", std::to_string(EndUnixNanoseconds)},
      {"attributes", std::move(Attributes)},
      {"status", {{"code", static_cast<int>(Span.Status)}}}};
  if (Span.Parent)
    Encoded["parentSpanId"] = Span.Parent->text();
  return Encoded;
}

} // namespace

std::string encodeOtlpJson(const span_resource &Resource,
                           std::span<const span> Spans) {
  json Encoded = json::array();
  for (const span &Span : Spans)
    Encoded.push_back(encodeSpan(Span));
  json Attributes = json::array(
      {textAttribute("service.name", Resource.ServiceName),
       textAttribute("service.instance.id", Resource.InstanceId),
       textAttribute("cloud.availability_zone", Resource.DataCentre)});
  json ScopeSpans = json::array(
      {{{"scope", {{"name", "clementine"}}}, {"spans", std::move(Encoded)}}});
  json ResourceSpans =
      json::array({{{"resource", {{"attributes", std::move(Attributes)}}},
                    {"scopeSpans", std::move(ScopeSpans)}}});
  const json Request = {{"resourceSpans", std::move(ResourceSpans)}};
  return Request.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace clementine
