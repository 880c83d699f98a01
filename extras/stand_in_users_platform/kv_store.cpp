#include "stand_in_users_platform/kv_store.h"

#include "clementine_platform/etcd/base64.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace clementine::stand_in {

using nlohmann::json;

namespace {

constexpr unsigned NotFound = 404;
constexpr unsigned Gone = 410;
constexpr unsigned PreconditionFailed = 412;
constexpr unsigned BadRequest = 400;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned Unavailable = 503;

/// The most items on a page; small, so that tests read several pages.
constexpr std::size_t PageSize = 5;
constexpr std::chrono::milliseconds CheckInterval{20};

http_answer jsonAnswer(const json &Body, unsigned Status = 200) {
  http_answer Answer;
  Answer.Status = Status;
  Answer.Body = Body.dump();
  Answer.Headers = {{"Content-Type", "application/json"}};
  return Answer;
}

json itemOf(const platform_entry &Entry) {
  return {{"key", Entry.Key},
          {"value", encodeBase64(Entry.Value)},
          {"revision", Entry.ModRevision},
          {"created_at", Entry.CreateRevision},
          {"lease_id", Entry.Lease}};
}

std::string queryOf(const http_request &Request, const std::string &Name) {
  const auto Found = Request.Query.find(Name);
  return Found == Request.Query.end() ? "" : Found->second;
}

} // namespace

kv_store::kv_store(const endpoint &Listen)
    : Store(Time),
      Server(std::make_unique<http_server>(
          Listen, http_server::limits{},
          [this](const http_request &Request) { return handle(Request); })) {}

kv_store::~kv_store() {
  Stopping = true;
  Server.reset();
}

void kv_store::put(const std::string &Key, const std::string &Value) {
  platform_transaction Transaction;
  Transaction.Puts.push_back({Key, Value, 0});
  if (!Store.commit(Transaction))
    throw std::logic_error("stand-in store rejected an unconditional put");
}

std::string kv_store::valueOf(const std::string &Key) {
  const auto Found = Store.get(Key);
  return Found && Found.value() ? Found.value()->Value : "";
}

void kv_store::keepCopy() {
  const std::lock_guard Lock(CopyMutex);
  Copy.emplace(Store.copy());
}

void kv_store::restoreCopy() {
  const std::lock_guard Lock(CopyMutex);
  if (!Copy)
    throw std::logic_error("stand-in store has no copy to go back to");
  IsRestoring = true;
  ++Era;
  CompactedRevision = 0;
  Store.restore(*Copy);
  IsRestoring = false;
}

http_answer kv_store::handle(const http_request &Request) {
  ++Calls;
  const std::uint64_t Before = Era;
  http_answer Answer =
      IsRestoring ? jsonAnswer(json::object(), Unavailable) : answerTo(Request);
  // What was done for the call may be lost.
  Answer.IsTruncated = Answer.IsTruncated || Before != Era;
  Answer.Headers.emplace_back("Store-Era", std::to_string(Before));
  return Answer;
}

http_answer kv_store::answerTo(const http_request &Request) {
  bool WasSilent = false;
  while (!Stopping && Outage == outage::Silent) {
    std::this_thread::sleep_for(CheckInterval);
    WasSilent = true;
  }
  if (WasSilent || Outage == outage::Unavailable)
    return jsonAnswer(json::object(), Unavailable);
  if (Outage == outage::Busy)
    return jsonAnswer(json::object(), TooManyRequests);
  http_answer Answer = serve(Request);
  if (Request.Method == "POST" && LostAnswers > 0) {
    --LostAnswers;
    Answer.IsTruncated = true;
  }
  return Answer;
}

http_answer kv_store::serve(const http_request &Request) {
  const std::string &Path = Request.Path;
  constexpr std::string_view KeepAlivePath = "/clementinecove/kv-keep/";
  constexpr std::string_view RevokePath = "/clementinecove/kv-lease-end/";
  if (Path == "/clementinecove/kv-key")
    return getKey(Request);
  if (Path == "/clementinecove/kv-range")
    return getRange(Request);
  if (Path == "/clementinecove/kv-watch")
    return watch(Request);
  if (Path == "/clementinecove/kv-txn")
    return transaction(Request);
  if (Path == "/clementinecove/kv-lease")
    return grantLease(Request);
  if (Path.starts_with(KeepAlivePath))
    return renewLease(Path.substr(KeepAlivePath.size()));
  if (Path.starts_with(RevokePath)) {
    const bool IsKnown =
        Store.revokeLease(std::stoll(Path.substr(RevokePath.size())))
            .has_value();
    return jsonAnswer(json::object(), IsKnown ? 200 : NotFound);
  }
  return jsonAnswer(json::object(), NotFound);
}

http_answer kv_store::getKey(const http_request &Request) {
  const auto Found = Store.get(queryOf(Request, "key"));
  if (!Found || !Found.value())
    return jsonAnswer(json::object(), NotFound);
  json Item = itemOf(*Found.value());
  Item["at"] = Store.revision();
  return jsonAnswer(Item);
}

http_answer kv_store::getRange(const http_request &Request) {
  const auto Range = Store.list(queryOf(Request, "prefix")).value();
  const std::string After = queryOf(Request, "after");
  json Items = json::array();
  bool HasMore = false;
  for (const platform_entry &Entry : Range.Entries) {
    if (Entry.Key <= After)
      continue;
    HasMore = Items.size() == PageSize;
    if (HasMore)
      break;
    Items.push_back(itemOf(Entry));
  }
  return jsonAnswer(
      {{"items", Items}, {"has_more", HasMore}, {"at", Range.Revision}});
}

http_answer kv_store::watch(const http_request &Request) {
  const platform_revision After = std::stoll(queryOf(Request, "after"));
  const instant End = Time.now() + std::chrono::milliseconds(
                                       std::stoll(queryOf(Request, "wait_ms")));
  const std::uint64_t Begun = Era;
  platform_revision Seen = After;
  while (true) {
    if (After < CompactedRevision || After > Store.revision())
      return jsonAnswer(json::object(), Gone);
    if (Stopping || Outage != outage::None || Era != Begun)
      return jsonAnswer(json::object(), Unavailable);
    const auto Batch =
        Store.awaitEvents(queryOf(Request, "prefix"), Seen + 1, CheckInterval);
    if (!Batch)
      return jsonAnswer(json::object(), Gone);
    if (EventsHidden && Time.now() < End) {
      std::this_thread::sleep_for(CheckInterval);
      continue;
    }
    if (Batch->Events.empty() && Time.now() < End) {
      Seen = std::max(Seen, Batch->Revision);
      continue;
    }
    json Events = json::array();
    for (const platform_event &Event : Batch->Events) {
      if (Event.Kind == platform_event::kind::Delete)
        Events.push_back({{"key", Event.Entry.Key},
                          {"revision", Event.Entry.ModRevision},
                          {"deleted", true}});
      else
        Events.push_back(itemOf(Event.Entry));
    }
    return jsonAnswer(
        {{"events", Events}, {"at", std::max(After, Batch->Revision)}});
  }
}

http_answer kv_store::transaction(const http_request &Request) {
  const json Body = json::parse(Request.Body);
  platform_transaction Transaction;
  for (const json &Row : Body.at("precondition"))
    Transaction.Compares.push_back({Row.at("key"),
                                    platform_compare::field::ModRevision,
                                    platform_compare::relation::Equal,
                                    Row.at("revision").get<std::int64_t>()});
  for (const json &Put : Body.at("puts"))
    Transaction.Puts.push_back(
        {Put.at("key"),
         decodeBase64(Put.at("value").get<std::string>()).value_or(""),
         Put.value("lease_id", std::int64_t{0})});
  for (const json &Key : Body.at("remove"))
    Transaction.Deletes.push_back(Key);
  const auto Commit = Store.commit(Transaction);
  if (!Commit)
    return jsonAnswer(json::object(),
                      Commit.error().Cause == platform_cause::LeaseNotFound
                          ? NotFound
                          : BadRequest);
  if (!Commit.value().Succeeded) {
    json Items = json::array();
    for (const platform_compare &Compare : Transaction.Compares)
      if (const auto Found = Store.get(Compare.Key); Found && Found.value())
        Items.push_back(itemOf(*Found.value()));
    return jsonAnswer({{"items", Items}}, PreconditionFailed);
  }
  return jsonAnswer({{"revision", Commit.value().Revision}});
}

http_answer kv_store::grantLease(const http_request &Request) {
  const auto Milliseconds =
      json::parse(Request.Body).at("ttl_ms").get<std::int64_t>();
  constexpr std::int64_t MillisecondsPerSecond = 1000;
  const auto Lease = Store.grantLease(
      std::chrono::seconds(Milliseconds / MillisecondsPerSecond));
  return jsonAnswer({{"lease_id", Lease.value().Id}, {"ttl_ms", Milliseconds}});
}

http_answer kv_store::renewLease(const std::string &Id) {
  const auto Lease = Store.renewLease(std::stoll(Id));
  if (!Lease)
    return jsonAnswer(json::object(), NotFound);
  return jsonAnswer(
      {{"ttl_ms",
        std::chrono::milliseconds(Lease.value().TimeToLive).count()}});
}

} // namespace clementine::stand_in
