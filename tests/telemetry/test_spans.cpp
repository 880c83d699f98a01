#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "clementine_telemetry/clementine_telemetry.h"
#include "fake_collector.h"

#include <nlohmann/json.hpp>

#include <future>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

const std::string Valid =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

span spanNumber(std::uint64_t Number) {
  return {{1, 2},
          {Number},
          span_id{9},
          "GET /hall",
          span_kind::Server,
          1'000,
          250ns,
          {{"importance", "high"}},
          span_status::Ok};
}

/// A transport that waits for permission before each post, and can fail.
class fake_transport final : public span_transport {
public:
  explicit fake_transport(std::shared_future<void> Permission, bool Fails)
      : Permission(std::move(Permission)), Fails(Fails) {}

  result<void, span_transport_failure>
  post(const std::string & /*Body*/) override {
    Permission.wait();
    if (Fails)
      return span_transport_failure{span_transport_fault::Unreachable, 0};
    return success();
  }

private:
  std::shared_future<void> Permission;
  const bool Fails;
};

struct exporter_run {
  std::uint64_t Sent;
  std::uint64_t Dropped;
  std::uint64_t Failed;
};

/// Offers spans before the exporter starts, then starts it, gives the
/// transport permission and stops.
exporter_run offerWhileBlocked(unsigned Spans, std::size_t Capacity,
                               bool Fails) {
  std::promise<void> Permission;
  metrics_registry Metrics;
  span_exporter Exporter(
      {"clementined", "a", "fukuoka"},
      std::make_unique<fake_transport>(Permission.get_future().share(), Fails),
      Metrics, {}, {Capacity, 4, 1h});
  for (unsigned Number = 1; Number <= Spans; ++Number)
    CHECK(Exporter.offer(spanNumber(Number)) == (Number <= Capacity));
  Exporter.start();
  Permission.set_value();
  Exporter.stop();
  const auto Count = [&](const std::string &Name) {
    return Metrics.counterFor("clementine_spans_" + Name + "_total", "")
        .value();
  };
  return {Count("sent"), Count("dropped"), Count("failed")};
}

} // namespace

TEST_CASE("traceparent is parsed as W3C Trace Context defines") {
  const auto Context = parseTraceparent(Valid);
  REQUIRE(Context);
  CHECK(Context->Trace == trace_id{0x0af7651916cd43ddULL, 0x8448eb211c80319c});
  CHECK(Context->Span == span_id{0xb7ad6b7169203331ULL});
  CHECK(Context->Sampled);
  CHECK(formatTraceparent(*Context) == Valid);
  CHECK(parseTraceparent("01" + Valid.substr(2) + "-extra"));
  CHECK(parseTraceparent("01" + Valid.substr(2)));
}

TEST_CASE("invalid traceparent headers are rejected") {
  const std::string Zeros(32, '0');
  for (const std::string &Header :
       {std::string(), Valid.substr(1), Valid + "-", "ff" + Valid.substr(2),
        "01" + Valid.substr(2) + "x", "00-0AF7" + Valid.substr(7),
        "00-" + Zeros + Valid.substr(35),
        Valid.substr(0, 36) + "0000000000000000-01",
        Valid.substr(0, 52) + "_01", Valid.substr(0, 53) + "0g",
        "01" + Valid.substr(2) + "-" + std::string(600, 'a')}) {
    CAPTURE(Header);
    CHECK_FALSE(parseTraceparent(Header));
  }
}

TEST_CASE("every trace context round-trips through its header") {
  CHECK(rc::check("traceparent", [](std::uint64_t Seed, bool Sampled) {
    seeded_random Random(Seed);
    const trace_context Context{newTraceId(Random), newSpanId(Random), Sampled};
    RC_ASSERT(parseTraceparent(formatTraceparent(Context)) == Context);
  }));
}

TEST_CASE("sampling follows the share and is monotonic in it") {
  seeded_random Random(7);
  const trace_sampler None(0);
  const trace_sampler Tenth(0.1);
  const trace_sampler Half(0.5);
  const trace_sampler All(1);
  int Sampled = 0;
  for (int Round = 0; Round < 10'000; ++Round) {
    // Half of the ids have a constant upper part, as some callers send them.
    const trace_id Trace{Round % 2 == 0 ? 0 : Random.next(), Random.next()};
    CHECK_FALSE(None.isSampled(Trace));
    CHECK(All.isSampled(Trace));
    if (!Tenth.isSampled(Trace))
      continue;
    ++Sampled;
    CHECK(Half.isSampled(Trace));
  }
  CHECK(Sampled > 900);
  CHECK(Sampled < 1'100);
}

TEST_CASE("spans are encoded as OTLP, including invalid UTF-8") {
  span Span = spanNumber(0xab);
  Span.Attributes = {{"caller", std::string("x\xff")},
                     {"attempt", std::int64_t{2}},
                     {"retry", true}};
  const auto Encoded = nlohmann::json::parse(
      encodeOtlpJson({"clementined", "node-1", "fukuoka"}, {&Span, 1}));
  const auto &Resource = Encoded["resourceSpans"][0];
  CHECK(Resource["resource"]["attributes"][1]["value"]["stringValue"] ==
        "node-1");
  const auto &Written = Resource["scopeSpans"][0]["spans"][0];
  CHECK(Written["traceId"] == "00000000000000010000000000000002");
  CHECK(Written["spanId"] == "00000000000000ab");
  CHECK(Written["parentSpanId"] == "0000000000000009");
  CHECK(Written["kind"] == 2);
  CHECK(Written["startTimeUnixNano"] == "1000");
  CHECK(Written["endTimeUnixNano"] == "1250");
  CHECK(Written["status"]["code"] == 1);
  CHECK(Written["attributes"][0]["value"]["stringValue"] == "x\xef\xbf\xbd");
  CHECK(Written["attributes"][1]["value"]["intValue"] == "2");
  CHECK(Written["attributes"][2]["value"]["boolValue"] == true);
  Span.Parent.reset();
  CHECK(encodeOtlpJson({}, {&Span, 1}).find("parentSpanId") ==
        std::string::npos);
}

TEST_CASE(
    "a full ring drops and counts spans, and stop() sends the queued ones") {
  const auto Run = offerWhileBlocked(15, 10, false);
  CHECK(Run.Sent == 10);
  CHECK(Run.Dropped == 5);
  CHECK(Run.Failed == 0);
}

TEST_CASE("spans that the collector fails to accept are counted as failed") {
  const auto Run = offerWhileBlocked(10, 10, true);
  CHECK(Run.Sent == 0);
  CHECK(Run.Failed == 10);
}

TEST_CASE("batches reach a collector over HTTP") {
  const fake_collector Collector(200);
  REQUIRE(Collector.isRunning());
  metrics_registry Metrics;
  span_exporter Exporter(
      {"clementined", "a", "fukuoka"},
      std::make_unique<http_span_transport>(Collector.url(), 5s), Metrics, {},
      {100, 4, 1h});
  for (std::uint64_t Number = 1; Number <= 10; ++Number)
    CHECK(Exporter.offer(spanNumber(Number)));
  Exporter.start();
  Exporter.stop();
  const auto Bodies = Collector.bodies();
  REQUIRE(Bodies.size() == 3);
  std::size_t Spans = 0;
  for (const std::string &Body : Bodies)
    Spans += nlohmann::json::parse(
                 Body)["resourceSpans"][0]["scopeSpans"][0]["spans"]
                 .size();
  CHECK(Spans == 10);
}

TEST_CASE("a refusal is distinguished from an unreachable collector") {
  const fake_collector Collector(503);
  REQUIRE(Collector.isRunning());
  http_span_transport Refused(Collector.url(), 5s);
  const auto Answer = Refused.post("{}");
  REQUIRE_FALSE(Answer);
  CHECK(Answer.error() ==
        span_transport_failure{span_transport_fault::Refused, 503});
  http_span_transport UnreachableTransport("http://127.0.0.1:1/v1/traces", 5s);
  const auto NoAnswer = UnreachableTransport.post("{}");
  REQUIRE_FALSE(NoAnswer);
  CHECK(NoAnswer.error().Fault == span_transport_fault::Unreachable);
}
