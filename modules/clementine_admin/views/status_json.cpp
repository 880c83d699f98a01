#include "clementine_admin/views/status_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace clementine {

namespace {

using json = nlohmann::ordered_json;

constexpr int Indent = 2;

double seconds(duration Span) {
  return std::chrono::duration<double>(Span).count();
}

template <class Value> json orNull(const std::optional<Value> &Known) {
  return Known ? json(*Known) : json(nullptr);
}

json orNull(const std::optional<duration> &Known) {
  return Known ? json(seconds(*Known)) : json(nullptr);
}

json nodeJson(const node_status &Status) {
  return {{"name", Status.Identity.Name},
          {"incarnation", Status.Identity.Incarnation},
          {"data_centre", Status.DataCentre},
          {"program", Status.Program},
          {"uptime_seconds", seconds(Status.Uptime)},
          {"stopping", Status.IsStopping}};
}

json entryJson(const member_status &Member) {
  return {{"name", Member.Identity.Name},
          {"incarnation", Member.Identity.Incarnation},
          {"data_centre", Member.DataCentre},
          {"service", Member.Service},
          {"http", Member.Http.text()},
          {"state", memberStateName(Member.State)},
          {"self", Member.IsSelf}};
}

json entryJson(const upstream_status &Upstream) {
  return {{"service", Upstream.Service},
          {"node", Upstream.Node},
          {"data_centre", Upstream.DataCentre},
          {"own", Upstream.IsOwn},
          {"draining", Upstream.IsDraining},
          {"in_flight", Upstream.InFlight},
          {"limit", orNull(Upstream.Limit)},
          {"queued", Upstream.Queued},
          {"level", Upstream.Level.index()},
          {"highest_level", admission_level().index()},
          {"mean_latency_seconds", orNull(Upstream.MeanLatency)}};
}

json entryJson(const caller_status &Caller) {
  return {{"name", Caller.Name},
          {"owner", Caller.Owner},
          {"importance", importanceName(Caller.Importance)},
          {"limits",
           {{"rate_per_second", orNull(Caller.RateLimit)},
            {"concurrency", orNull(Caller.ConcurrencyLimit)},
            {"cost_per_second", orNull(Caller.CostLimit)}}},
          {"now",
           {{"rate_per_second", Caller.Rate},
            {"in_flight", Caller.InFlight},
            {"cost_per_second", Caller.Cost}}},
          {"refused_total", Caller.Refused}};
}

std::string textOf(const json &Answer) {
  return Answer.dump(Indent, ' ', false, json::error_handler_t::replace) + "\n";
}

/// Writes a list under the key @p Name, truncated to MaxListedEntries.
template <class Entry>
std::string listJson(const node_status &Status, const char *Name,
                     const std::vector<Entry> &Entries) {
  const std::size_t Listed = std::min(Entries.size(), MaxListedEntries);
  json List = json::array();
  for (std::size_t Index = 0; Index < Listed; ++Index)
    List.push_back(entryJson(Entries[Index]));
  return textOf({{"node", nodeJson(Status)},
                 {"total", Entries.size()},
                 {"truncated", Listed < Entries.size()},
                 {Name, std::move(List)}});
}

} // namespace

std::string bundleJson(const node_status &Status) {
  json Bundle = nullptr;
  if (Status.Bundle)
    Bundle = {{"name", Status.Bundle->Name},
              {"version", Status.Bundle->Version},
              {"digest", Status.Bundle->Digest},
              {"owner", Status.Bundle->Owner},
              {"reason", Status.Bundle->Reason},
              {"in_force_seconds", seconds(Status.Bundle->InForce)},
              {"confirmed_seconds_ago", orNull(Status.Bundle->Confirmed)}};
  return textOf({{"node", nodeJson(Status)}, {"bundle", std::move(Bundle)}});
}

std::string nodesJson(const node_status &Status) {
  return listJson(Status, "nodes", Status.Members);
}

std::string upstreamsJson(const node_status &Status) {
  return listJson(Status, "upstreams", Status.Upstreams);
}

std::string callersJson(const node_status &Status) {
  return listJson(Status, "callers", Status.Callers);
}

} // namespace clementine
