#include "clementine_platform/etcd/etcd_encoder.h"

#include "clementine_platform/etcd/base64.h"

#include <nlohmann/json.hpp>

namespace clementine::etcd {

namespace {

using json = nlohmann::json;

std::string dump(const json &Message) {
  return Message.dump(-1, ' ', false, json::error_handler_t::replace);
}

json header(platform_revision Revision) {
  return {{"revision", std::to_string(Revision)}};
}

json entryJson(const platform_entry &Entry) {
  return {{"key", encodeBase64(Entry.Key)},
          {"value", encodeBase64(Entry.Value)},
          {"create_revision", std::to_string(Entry.CreateRevision)},
          {"mod_revision", std::to_string(Entry.ModRevision)},
          {"version", std::to_string(Entry.Version)},
          {"lease", std::to_string(Entry.Lease)}};
}

json entriesJson(const std::vector<platform_entry> &Entries) {
  json Array = json::array();
  for (const platform_entry &Entry : Entries)
    Array.push_back(entryJson(Entry));
  return Array;
}

json compareJson(const platform_compare &Compare) {
  const auto Target = static_cast<std::size_t>(Compare.Field);
  const auto Relation = static_cast<std::size_t>(Compare.Relation);
  return {{"key", encodeBase64(Compare.Key)},
          {"target", CompareTargets.at(Target)},
          {"result", CompareRelations.at(Relation)},
          {CompareFields.at(Target), std::to_string(Compare.Number)}};
}

json putJson(const platform_put &Put) {
  json Request = {{"key", encodeBase64(Put.Key)},
                  {"value", encodeBase64(Put.Value)}};
  if (Put.Lease != 0)
    Request["lease"] = std::to_string(Put.Lease);
  return {{"request_put", Request}};
}

} // namespace

std::string encodeRangeRequest(const range_request &Request) {
  json Message = {{"key", encodeBase64(Request.Key)}};
  if (!Request.RangeEnd.empty())
    Message["range_end"] = encodeBase64(Request.RangeEnd);
  return dump(Message);
}

std::string encodeTransaction(const platform_transaction &Transaction) {
  json Compares = json::array();
  for (const platform_compare &Compare : Transaction.Compares)
    Compares.push_back(compareJson(Compare));
  json Changes = json::array();
  for (const platform_put &Put : Transaction.Puts)
    Changes.push_back(putJson(Put));
  for (const std::string &Key : Transaction.Deletes)
    Changes.push_back({{"request_delete_range", {{"key", encodeBase64(Key)}}}});
  json Reads = json::array();
  for (const std::string &Key : Transaction.ReadsOnFailure)
    Reads.push_back({{"request_range", {{"key", encodeBase64(Key)}}}});
  return dump(
      {{"compare", Compares}, {"success", Changes}, {"failure", Reads}});
}

std::string encodeLeaseGrant(std::int64_t TimeToLiveSeconds) {
  return dump({{"TTL", std::to_string(TimeToLiveSeconds)}});
}

std::string encodeLeaseId(lease_id Lease) {
  return dump({{"ID", std::to_string(Lease)}});
}

std::string encodeWatchRequest(const watch_request &Request) {
  return dump({{"create_request",
                {{"key", encodeBase64(Request.Key)},
                 {"range_end", encodeBase64(Request.RangeEnd)},
                 {"start_revision", std::to_string(Request.StartRevision)},
                 {"progress_notify", true}}}});
}

std::string encodeRange(const platform_range &Range) {
  return dump({{"header", header(Range.Revision)},
               {"kvs", entriesJson(Range.Entries)},
               {"count", std::to_string(Range.Entries.size())}});
}

std::string encodeCommit(const platform_commit &Commit,
                         const platform_transaction &Transaction) {
  json Message = {{"header", header(Commit.Revision)}};
  json Responses = json::array();
  if (Commit.Succeeded) {
    Message["succeeded"] = true;
    for (std::size_t Put = 0; Put < Transaction.Puts.size(); ++Put)
      Responses.push_back(
          {{"response_put", {{"header", header(Commit.Revision)}}}});
    for (std::size_t Key = 0; Key < Transaction.Deletes.size(); ++Key)
      Responses.push_back(
          {{"response_delete_range", {{"header", header(Commit.Revision)}}}});
  } else {
    for (const platform_entry &Entry : Commit.Entries)
      Responses.push_back({{"response_range",
                            {{"header", header(Commit.Revision)},
                             {"kvs", json::array({entryJson(Entry)})},
                             {"count", "1"}}}});
  }
  Message["responses"] = Responses;
  return dump(Message);
}

std::string encodeLease(const lease_message &Lease) {
  return dump({{"header", header(0)},
               {"ID", std::to_string(Lease.Id)},
               {"TTL", std::to_string(Lease.TimeToLiveSeconds)}});
}

std::string encodeLeaseRenewal(const lease_message &Lease) {
  json Result = {{"header", header(0)}, {"ID", std::to_string(Lease.Id)}};
  // The response for an expired lease has no time to live.
  if (Lease.TimeToLiveSeconds > 0)
    Result["TTL"] = std::to_string(Lease.TimeToLiveSeconds);
  return dump({{"result", Result}});
}

std::string encodeWatchMessage(const watch_message &Message) {
  json Result = {{"header", header(Message.Batch.Revision)}};
  if (Message.Created)
    Result["created"] = true;
  if (Message.Canceled)
    Result["canceled"] = true;
  if (Message.CompactRevision != 0)
    Result["compact_revision"] = std::to_string(Message.CompactRevision);
  json Events = json::array();
  for (const platform_event &Event : Message.Batch.Events) {
    json Encoded = {{"kv", entryJson(Event.Entry)}};
    if (Event.Kind == platform_event::kind::Delete)
      Encoded["type"] = "DELETE";
    Events.push_back(Encoded);
  }
  if (!Events.empty())
    Result["events"] = Events;
  return dump({{"result", Result}}) + "\n";
}

std::string encodeGatewayError(const gateway_error &Error) {
  return dump({{"error", Error.Message},
               {"code", Error.Code},
               {"message", Error.Message}});
}

} // namespace clementine::etcd
