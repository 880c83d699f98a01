#include "clementine_proxy/node/operator_endpoints.h"

namespace clementine::proxy {

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned Unavailable = 503;

response statusOnly(unsigned Status) {
  response Answer;
  Answer.Status = Status;
  return Answer;
}

unsigned statusOf(instance_call_verdict Verdict) {
  switch (Verdict) {
  case instance_call_verdict::Confirmed:
    return Ok;
  case instance_call_verdict::ReportAgain:
    return Unavailable;
  case instance_call_verdict::Foreign:
    return BadRequest;
  }
  return BadRequest;
}

} // namespace

response control_endpoint::answerTo(const request &Request) {
  const auto Content = Adapter.decodeInstanceCall(Request);
  if (!Content) {
    Log.warning("instance call cannot be decoded",
                {{"path", Request.path()}, {"error", Content.error().text()}});
    return statusOnly(BadRequest);
  }
  if (std::holds_alternative<unknown_call>(Content.value()))
    return statusOnly(NotFound);
  const unsigned Status = statusOf(Listener(Content.value()));
  if (Status != Ok)
    return statusOnly(Status);
  response Answer = statusOnly(Ok);
  Answer.Headers.emplace_back("Content-Type", "application/json");
  Answer.Body = "{}";
  return Answer;
}

response readiness_endpoint::answerTo(const request &Request) {
  if (!Adapter.isReadinessProbe(Request))
    return statusOnly(NotFound);
  return statusOnly(IsReady() ? Ok : Unavailable);
}

metrics_endpoint::metrics_endpoint(metrics_registry &Metrics)
    : Metrics(Metrics), DroppedRecords(Metrics.counterFor(
                            "clementine_log_records_dropped_total",
                            "Log records that found the queue full.")) {}

response metrics_endpoint::answerTo(const request &Request) {
  if (Request.path() != "/metrics")
    return statusOnly(NotFound);
  const std::uint64_t Drops = log_output::dropped();
  DroppedRecords.add(Drops - std::exchange(ReportedDrops, Drops));
  response Answer = statusOnly(Ok);
  Answer.Headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
  Answer.Body = Metrics.prometheusText();
  return Answer;
}

} // namespace clementine::proxy
