#include "users_platform.h"

#include <doctest/doctest.h>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;

namespace {

const auto Platform = makeUsersPlatform({"127.0.0.1", 1});

std::string desiredState(const std::string &Resources,
                         const std::string &Version = "\"r12\"") {
  return R"({"version":)" + Version + R"(,"resources":[)" + Resources + "]}";
}

const std::string Route =
    R"({"entry_kind":"routes","metadata":{"name":"r-1"},"spec":{"host":"h",)"
    R"("prefix":"/p/","kind":"idempotent","timeout_ms":1000,)"
    R"("target_latency_ms":1500,"priority":2,"max_attempts":2,)"
    R"("weighted_services":[{"service":"a","weight":90},)"
    R"({"service":"b","weight":10}]}})";

request postRequest(const std::string &Path, const std::string &Body) {
  request Request;
  Request.Method = "POST";
  Request.Target = Path;
  Request.Body = Body;
  return Request;
}

std::string reportWith(const std::string &Field, const std::string &Value) {
  std::string Body = "{";
  for (const auto &[Name, Default] :
       std::vector<std::pair<std::string, std::string>>{
           {"service", "\"s\""},
           {"address", "\"10.0.0.1:80\""},
           {"zone", "\"z\""},
           {"version", "\"v1\""},
           {"slots", "65"},
           {"state", "\"ready\""},
           {"sequence", "4"},
           {"cold_remaining_ms", "10"},
           {"born", "1700"}}) {
    const std::string &Chosen = Name == Field ? Value : Default;
    if (!Chosen.empty())
      Body.append(Body.size() > 1 ? ",\"" : "\"")
          .append(Name)
          .append("\":")
          .append(Chosen);
  }
  return Body + "}";
}

const std::string ReportPath = "/clementinecove/Instances.Heartbeat/i-7";

} // namespace

TEST_CASE("the desired state is decoded, ignoring entries of unknown kinds") {
  const auto Config = Platform->decodeConfig(desiredState(
      Route +
      R"(,{"entry_kind":"services","metadata":{"name":"a"},)"
      R"("spec":{"max_connections":490}},)"
      R"({"entry_kind":"limits","metadata":{},"spec":{"max_header_bytes":9,)"
      R"("max_body_bytes":8,"header_timeout_ms":7,"idle_timeout_ms":6}},)"
      R"({"entry_kind":"novelty","metadata":{},"spec":{}})"));
  REQUIRE(Config);
  CHECK(Config.value().Version == 12);
  REQUIRE(Config.value().Routes.size() == 1);
  const route &Decoded = Config.value().Routes[0];
  CHECK(Decoded.IsIdempotent);
  CHECK(Decoded.Timeout == 1s);
  CHECK(Decoded.Services ==
        std::vector<weighted_service>{{"a", 90}, {"b", 10}});
  CHECK(Config.value().Services[0].MaxConnections == 490);
  CHECK(Config.value().Limits.IdleTimeout == 6ms);
}

TEST_CASE("decoding errors of the desired state name the kind and the field") {
  const auto Error = [](const std::string &Text) {
    return Platform->decodeConfig(Text).error();
  };
  CHECK(Error("{").Kind == decode_error::kind::Malformed);
  CHECK(Error("[]").Kind == decode_error::kind::Malformed);
  CHECK(Error(desiredState("", "12")).Field == "version");
  CHECK(Error(desiredState("", "\"12\"")).Field == "version");
  CHECK(Error(R"({"version":"r1"})").Field == "resources");
  std::string Bad = Route;
  Bad.replace(Bad.find("\"/p/\""), 5, "17");
  CHECK(Error(desiredState(Bad)).Field == "prefix");
  Bad = Route;
  Bad.replace(Bad.find("1000"), 4, "-1");
  CHECK(Error(desiredState(Bad)).Field == "timeout_ms");
}

TEST_CASE("an instance report is decoded") {
  const auto Content =
      Platform->decodeInstanceCall(postRequest(ReportPath, reportWith("", "")));
  REQUIRE(Content);
  const auto &Report = std::get<instance_report>(Content.value());
  CHECK(Report.Instance == "i-7");
  CHECK(Report.Address.text() == "10.0.0.1:80");
  CHECK(Report.Slots == 65);
  CHECK(Report.StartedAt == 1700);
  CHECK(Report.Sequence == 4);
}

TEST_CASE("an instance report with any required field missing or invalid is "
          "rejected") {
  for (const char *Field :
       {"service", "address", "zone", "slots", "state", "sequence"})
    for (const char *Value : {"", "[]", "null", "\"strange value\"", "-3"}) {
      if (std::string(Value).find("strange") != std::string::npos &&
          (std::string(Field) == "service" || std::string(Field) == "zone"))
        continue;
      CAPTURE(Field);
      CAPTURE(Value);
      CHECK(Platform
                ->decodeInstanceCall(
                    postRequest(ReportPath, reportWith(Field, Value)))
                .has_error());
    }
  CHECK(Platform->decodeInstanceCall(postRequest(ReportPath, "\xff\xfe"))
            .has_error());
  CHECK(Platform->decodeInstanceCall(postRequest(ReportPath, "")).has_error());
}

TEST_CASE("deregistration, readiness and unknown calls are distinguished") {
  const auto Leaving = Platform->decodeInstanceCall(
      postRequest("/clementinecove/Instances.Deregister/i-7", ""));
  REQUIRE(Leaving);
  CHECK(std::get<instance_departure>(Leaving.value()).Instance == "i-7");
  CHECK(std::holds_alternative<unknown_call>(
      Platform->decodeInstanceCall(postRequest("/other", "")).value()));
  request Probe;
  Probe.Method = "GET";
  Probe.Target = "/clementinecove/readiness";
  CHECK(Platform->isReadinessProbe(Probe));
  Probe.Target = "/";
  CHECK_FALSE(Platform->isReadinessProbe(Probe));
}
