#include "stand_in_platform/server/platform_server.h"

#include "clementine_platform/etcd/etcd_decoder.h"
#include "clementine_platform/etcd/etcd_encoder.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>
#include <utility>

namespace clementine::stand_in {

namespace {

using std::chrono::milliseconds;

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

/// The interval at which a waiting call checks whether its wait is over.
constexpr milliseconds CheckInterval(20);

/// The largest value that can be stored, in bytes.
constexpr std::size_t MaxValueBytes = std::size_t{1} << 20U;

http_answer jsonAnswer(std::string Body) {
  http_answer Answer;
  Answer.Body = std::move(Body);
  Answer.Headers = {{"Content-Type", "application/json"}};
  return Answer;
}

http_answer errorAnswer(unsigned Status, std::int64_t Code,
                        const std::string &Message) {
  http_answer Answer = jsonAnswer(etcd::encodeGatewayError({Code, Message}));
  Answer.Status = Status;
  return Answer;
}

http_answer badRequest(const std::string &Message) {
  return errorAnswer(StatusBadRequest, etcd::CodeInvalidArgument, Message);
}

http_answer unavailable() {
  return errorAnswer(StatusUnavailable, etcd::CodeUnavailable, "unavailable");
}

http_answer failureAnswer(const platform_error &Error) {
  if (Error.Cause == platform_cause::LeaseNotFound)
    return errorAnswer(StatusNotFound, etcd::CodeNotFound,
                       "etcdserver: requested lease not found");
  return badRequest(Error.text());
}

bool isPrefixRange(const std::string &Key, const std::string &RangeEnd) {
  return RangeEnd == etcd::prefixEnd(Key);
}

} // namespace

/// Waits for the events of a watch and encodes them.
class platform_server::watch_stream {
public:
  watch_stream(platform_server &Server, std::string Prefix,
               platform_revision Next)
      : Server(Server), Prefix(std::move(Prefix)), Next(Next) {
    Server.Counts.addWaitingWatches(1);
  }

  ~watch_stream() { Server.Counts.addWaitingWatches(-1); }

  watch_stream(const watch_stream &) = delete;
  watch_stream &operator=(const watch_stream &) = delete;

  std::optional<std::string> next() {
    if (IsCancelled)
      return std::nullopt;
    if (!std::exchange(IsCreated, true)) {
      etcd::watch_message Created;
      Created.Created = true;
      Created.Batch.Revision = Server.Store.revision();
      return etcd::encodeWatchMessage(Created);
    }
    const instant ProgressDue = Server.Time.now() + Server.ProgressInterval;
    while (!isOver()) {
      const auto Message = poll(ProgressDue);
      if (Message)
        return etcd::encodeWatchMessage(*Message);
    }
    return std::nullopt;
  }

private:
  bool isOver() const {
    return Server.Stopping ||
           Server.Faults.current().Outage == outage_kind::Unavailable;
  }

  std::optional<etcd::watch_message> poll(instant ProgressDue) {
    // A silent platform keeps the connection open and sends nothing.
    if (Server.Faults.current().Outage == outage_kind::Silent) {
      std::this_thread::sleep_for(CheckInterval);
      return std::nullopt;
    }
    auto Batch = Server.Store.awaitEvents(Prefix, Next, CheckInterval);
    etcd::watch_message Message;
    if (!Batch) {
      IsCancelled = true;
      Message.Canceled = true;
      Message.CompactRevision = Next;
      return Message;
    }
    Next = std::max(Next, Batch->Revision + 1);
    if (Batch->Events.empty() && Server.Time.now() < ProgressDue)
      return std::nullopt;
    Server.delay(Server.Faults.current().DelayMilliseconds);
    Message.Batch = std::move(*Batch);
    return Message;
  }

  platform_server &Server;
  const std::string Prefix;
  platform_revision Next;
  bool IsCreated = false;
  bool IsCancelled = false;
};

platform_server::platform_server(const endpoint &Listen,
                                 duration ProgressInterval)
    : ProgressInterval(ProgressInterval), Store(Time),
      Server(std::make_unique<http_server>(
          Listen, http_server::limits{},
          [this](const http_request &Request) { return handle(Request); })) {}

platform_server::~platform_server() {
  Stopping = true;
  Server.reset();
}

const std::vector<platform_server::route> &platform_server::routes() {
  static const std::vector<route> Routes = {
      {"/v3/kv/range", platform_call::Range, false, &platform_server::range},
      {"/v3/kv/txn", platform_call::Transaction, true,
       &platform_server::transaction},
      {"/v3/lease/grant", platform_call::LeaseGrant, true,
       &platform_server::grantLease},
      {"/v3/lease/keepalive", platform_call::LeaseKeepalive, true,
       &platform_server::renewLease},
      {"/v3/kv/lease/revoke", platform_call::LeaseRevoke, true,
       &platform_server::revokeLease},
      {"/v3/lease/revoke", platform_call::LeaseRevoke, true,
       &platform_server::revokeLease},
      {"/v3/watch", platform_call::Watch, false, &platform_server::watch}};
  return Routes;
}

http_answer platform_server::handle(const http_request &Request) {
  if (Request.Path == "/stand-in/counts")
    return jsonAnswer(Counts.json());
  if (Request.Path == "/stand-in/faults")
    return changeFaults(Request.Body);
  const auto &Routes = routes();
  const auto Route =
      std::find_if(Routes.begin(), Routes.end(), [&](const route &Candidate) {
        return Request.Path == Candidate.Path;
      });
  if (Route == Routes.end() || Request.Method != "POST")
    return errorAnswer(StatusNotFound, etcd::CodeNotFound, "Not Found");
  return handleCall(*Route, Request.Body);
}

http_answer platform_server::handleCall(const route &Route,
                                        const std::string &Body) {
  Counts.add(Route.Kind, Time.now());
  const bool WasSilent = waitWhileSilent();
  const platform_faults Current = Faults.current();
  // A call that arrived during a silent outage must not take effect after it.
  if (WasSilent || Current.Outage == outage_kind::Unavailable)
    return unavailable();
  delay(Current.DelayMilliseconds);
  http_answer Answer = (this->*Route.Serve)(Body);
  if (Route.IsWrite && Faults.consumeLostAnswer())
    Answer.IsTruncated = true;
  if (Faults.consumeMalformedAnswer())
    Answer.Body = "{\"header\":";
  return Answer;
}

http_answer platform_server::changeFaults(const std::string &Body) {
  const bool WasStale = Faults.current().StaleReads;
  const auto Changed = Faults.change(Body);
  if (!Changed)
    return badRequest("wrong field: " + Changed.error().Field);
  if (Changed.value().StaleReads && !WasStale)
    takeSnapshot();
  if (nlohmann::json::parse(Body).value("lapse_leases", false))
    Store.expireAllLeases();
  return jsonAnswer("{}");
}

void platform_server::takeSnapshot() {
  const auto Range = Store.list("");
  const std::lock_guard Lock(SnapshotMutex);
  Snapshot.clear();
  SnapshotRevision = Range.value().Revision;
  for (const platform_entry &Entry : Range.value().Entries)
    Snapshot[Entry.Key] = Entry;
}

http_answer platform_server::range(const std::string &Body) {
  const auto Request = etcd::decodeRangeRequest(Body);
  if (!Request)
    return badRequest(Request.error().text());
  const auto &[Key, RangeEnd] = Request.value();
  if (!RangeEnd.empty() && !isPrefixRange(Key, RangeEnd))
    return badRequest("only single keys and prefixes are served");
  platform_range Range = Store.list(Key).value();
  if (Faults.current().StaleReads) {
    const std::lock_guard Lock(SnapshotMutex);
    Range = {SnapshotRevision, {}};
    for (const auto &[Name, Entry] : Snapshot)
      if (Name.compare(0, Key.size(), Key) == 0)
        Range.Entries.push_back(Entry);
  }
  if (RangeEnd.empty())
    std::erase_if(Range.Entries, [&Name = Key](const platform_entry &Entry) {
      return Entry.Key != Name;
    });
  return jsonAnswer(etcd::encodeRange(Range));
}

http_answer platform_server::transaction(const std::string &Body) {
  const auto Transaction = etcd::decodeTransaction(Body);
  if (!Transaction)
    return badRequest(Transaction.error().text());
  for (const platform_put &Put : Transaction.value().Puts)
    if (Put.Value.size() > MaxValueBytes)
      return badRequest("etcdserver: request is too large");
  const auto Commit = Store.commit(Transaction.value());
  if (!Commit)
    return failureAnswer(Commit.error());
  return jsonAnswer(etcd::encodeCommit(Commit.value(), Transaction.value()));
}

http_answer platform_server::grantLease(const std::string &Body) {
  const auto Request = etcd::decodeLeaseRequest(Body);
  if (!Request)
    return badRequest(Request.error().text());
  const auto Lease =
      Store.grantLease(std::chrono::seconds(Request.value().TimeToLiveSeconds));
  if (!Lease)
    return failureAnswer(Lease.error());
  return jsonAnswer(
      etcd::encodeLease({Lease.value().Id, Lease.value().TimeToLive.count()}));
}

http_answer platform_server::renewLease(const std::string &Body) {
  const auto Request = etcd::decodeLeaseRequest(Body);
  if (!Request)
    return badRequest(Request.error().text());
  const auto Lease = Store.renewLease(Request.value().Id);
  const std::int64_t Seconds =
      Lease ? static_cast<std::int64_t>(Lease.value().TimeToLive.count()) : 0;
  return jsonAnswer(etcd::encodeLeaseRenewal({Request.value().Id, Seconds}));
}

http_answer platform_server::revokeLease(const std::string &Body) {
  const auto Request = etcd::decodeLeaseRequest(Body);
  if (!Request)
    return badRequest(Request.error().text());
  const auto Revoked = Store.revokeLease(Request.value().Id);
  if (!Revoked)
    return failureAnswer(Revoked.error());
  return jsonAnswer("{\"header\":{}}");
}

http_answer platform_server::watch(const std::string &Body) {
  const auto Request = etcd::decodeWatchRequest(Body);
  if (!Request)
    return badRequest(Request.error().text());
  if (!isPrefixRange(Request.value().Key, Request.value().RangeEnd))
    return badRequest("only prefixes are watched");
  const platform_revision Start = Request.value().StartRevision;
  const auto Stream = std::make_shared<watch_stream>(
      *this, Request.value().Key, Start != 0 ? Start : Store.revision() + 1);
  http_answer Answer = jsonAnswer("");
  Answer.Stream = [Stream] { return Stream->next(); };
  return Answer;
}

bool platform_server::waitWhileSilent() const {
  bool Waited = false;
  while (!Stopping && Faults.current().Outage == outage_kind::Silent) {
    std::this_thread::sleep_for(CheckInterval);
    Waited = true;
  }
  return Waited;
}

void platform_server::delay(std::uint32_t Milliseconds) const {
  const instant End = Time.now() + milliseconds(Milliseconds);
  while (!Stopping && Time.now() < End)
    std::this_thread::sleep_for(std::min<duration>(
        CheckInterval, std::max<duration>(End - Time.now(), duration(0))));
}

} // namespace clementine::stand_in
