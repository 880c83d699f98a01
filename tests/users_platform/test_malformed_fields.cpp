#include "users_platform.h"

#include "clementine_proxy/peers/peer_messages.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

using namespace clementine;
using namespace clementine::proxy;
using nlohmann::json;

namespace {

const auto Platform = makeUsersPlatform({"127.0.0.1", 1});

/// A time that the decoder may let through; a longer one could overflow.
constexpr std::chrono::hours LongestTime{24};

const char *const ValidConfig = R"({"version":"r12","base_version":"r11",
  "resources":[
    {"entry_kind":"limits","metadata":{"name":"l"},"spec":{
      "max_header_bytes":8192,"max_body_bytes":65536,
      "header_timeout_ms":2000,"idle_timeout_ms":9000}},
    {"entry_kind":"services","metadata":{"name":"a"},"spec":{
      "max_connections":600,"health_path":"/health",
      "tls":null,"protocol":"http/1.1"}},
    {"entry_kind":"routes","metadata":{"name":"r-1"},"spec":{
      "host":"h","prefix":"/p/","kind":"idempotent","timeout_ms":1000,
      "target_latency_ms":1500,"priority":2,"max_attempts":2,
      "weighted_services":[{"service":"a","weight":90},
                           {"service":"b","weight":10}]}},
    {"entry_kind":"routes","metadata":{"name":"r-2"},"spec":{
      "host":"h","prefix":"/q/","kind":"non_idempotent","timeout_ms":900,
      "target_latency_ms":500,"priority":0,"max_attempts":1,
      "service":"a"}}]})";

const char *const ValidReport = R"({"service":"s","address":"10.0.0.1:80",
  "zone":"z","version":"v1","slots":65,"state":"ready","sequence":4,
  "cold_remaining_ms":10,"born":1700})";

/// What a field is replaced with.
std::vector<json> replacements() {
  return {json(nullptr),
          json(true),
          json(-1),
          json(0),
          json(0.5),
          json(1e300),
          json(std::numeric_limits<std::uint64_t>::max()),
          json(""),
          json("\xc3\xa9\x01/"),
          json(std::string(200000, 'x')),
          json::array(),
          json::array({1, nullptr, "x"}),
          json::object(),
          json{{"service", json::object()}}};
}

/// Lists the paths of all fields and list elements below @p Value.
void collectPaths(const json &Value, const json::json_pointer &At,
                  std::vector<json::json_pointer> &Paths) {
  if (!Value.is_structured())
    return;
  for (const auto &[Key, Field] : Value.items()) {
    const json::json_pointer Path =
        Value.is_array() ? At / std::stoul(Key) : At / Key;
    Paths.push_back(Path);
    collectPaths(Field, Path, Paths);
  }
}

/// @returns @p Value with the field at @p Path left out.
json without(const json &Value, const json::json_pointer &Path) {
  json Result = Value;
  json &Parent = Result[Path.parent_pointer()];
  if (Parent.is_array())
    Parent.erase(std::stoul(Path.back()));
  else
    Parent.erase(Path.back());
  return Result;
}

/// All copies of @p Text with one field left out or replaced.
std::vector<std::string> mutationsOf(const char *Text) {
  const json Valid = json::parse(Text);
  std::vector<json::json_pointer> Paths;
  collectPaths(Valid, json::json_pointer(), Paths);
  std::vector<std::string> Mutations;
  for (const json::json_pointer &Path : Paths) {
    Mutations.push_back(without(Valid, Path).dump());
    for (const json &Replacement : replacements()) {
      json Mutated = Valid;
      Mutated[Path] = Replacement;
      Mutations.push_back(Mutated.dump());
    }
  }
  return Mutations;
}

bool isUsable(const routing_config &Config) {
  return std::ranges::all_of(Config.Routes, [](const route &Route) {
    return Route.Timeout >= duration(0) && Route.Timeout <= LongestTime &&
           Route.LatencyObjective >= duration(0) &&
           Route.LatencyObjective <= LongestTime &&
           Route.Prefix.starts_with('/') && Route.Prefix.ends_with('/') &&
           std::ranges::any_of(Route.Services, [](const auto &Each) {
             return Each.Weight > 0;
           });
  });
}

} // namespace

TEST_CASE("a configuration with any field missing, of another type or huge is "
          "refused by type or usable") {
  REQUIRE(Platform->decodeConfig(ValidConfig));
  std::size_t Refused = 0;
  const std::vector<std::string> Mutations = mutationsOf(ValidConfig);
  for (const std::string &Text : Mutations) {
    INFO(Text.substr(0, 2000));
    const auto Decoded = Platform->decodeConfig(Text);
    if (Decoded) {
      CHECK(isUsable(Decoded.value()));
    } else {
      ++Refused;
      CHECK_FALSE(Decoded.error().text().empty());
    }
  }
  CHECK(Refused > Mutations.size() / 4);
  CHECK(Refused < Mutations.size());
}

TEST_CASE("a report with any field missing, of another type or huge names no "
          "instance to use, or a complete one") {
  request Request;
  Request.Method = "POST";
  Request.Target = "/clementinecove/Instances.Heartbeat/i-7";
  Request.Body = ValidReport;
  REQUIRE(Platform->decodeInstanceCall(Request));
  std::size_t Refused = 0;
  for (const std::string &Text : mutationsOf(ValidReport)) {
    INFO(Text.substr(0, 2000));
    Request.Body = Text;
    const auto Decoded = Platform->decodeInstanceCall(Request);
    if (!Decoded) {
      ++Refused;
      CHECK_FALSE(Decoded.error().text().empty());
      continue;
    }
    const auto *Report = std::get_if<instance_report>(&Decoded.value());
    REQUIRE(Report != nullptr);
    CHECK(Report->Instance == "i-7");
    CHECK(Report->Slots > 0);
    CHECK(Report->Address.Port > 0);
  }
  CHECK(Refused > 0);
}

TEST_CASE("the largest configuration that the store holds is decoded and fits "
          "into one message between nodes") {
  constexpr std::size_t StoreValueBytes = std::size_t{1} << 20U;
  json Config = json::parse(ValidConfig);
  const json Route = Config["resources"][2];
  std::string Text;
  std::size_t Routes = 2;
  for (;;) {
    for (int Count = 0; Count < 100; ++Count, ++Routes) {
      json Next = Route;
      Next["metadata"]["name"] = "r-" + std::to_string(Routes);
      Next["spec"]["prefix"] = "/p" + std::to_string(Routes) + "/";
      Config["resources"].push_back(std::move(Next));
    }
    std::string Longer = Config.dump();
    if (Longer.size() > StoreValueBytes)
      break;
    Text = std::move(Longer);
  }
  const auto Decoded = Platform->decodeConfig(Text);
  REQUIRE(Decoded);
  CHECK(Decoded.value().Routes.size() > 3000);
  const std::string Frame = encodeFrame(config_transfer{Decoded.value()});
  std::size_t Offset = 0;
  peer_message Received;
  REQUIRE(decodeFrame(Frame, Offset, Received) == frame_progress::Complete);
  CHECK(std::get<config_transfer>(Received).Config == Decoded.value());

  Config["resources"][2]["spec"]["timeout_ms"] = "long";
  CHECK_FALSE(Platform->decodeConfig(Config.dump()));
}
