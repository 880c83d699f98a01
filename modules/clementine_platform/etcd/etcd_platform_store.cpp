#include "clementine_platform/etcd/etcd_platform_store.h"

#include "clementine_platform/etcd/etcd_decoder.h"
#include "clementine_platform/etcd/etcd_encoder.h"

#include <cassert>
#include <utility>

namespace clementine {

namespace {

constexpr long HttpOk = 200;
constexpr long HttpRequestTimeout = 408;
constexpr long FirstClientError = 400;
constexpr long FirstServerError = 500;

platform_error malformed(const etcd::codec_error &Error,
                         platform_effect Effect) {
  return {platform_cause::MalformedAnswer, Effect, HttpOk, Error.text()};
}

platform_error failureOfStatus(const http_channel::answer &Answer) {
  const etcd::gateway_error Error = etcd::decodeGatewayError(Answer.Body);
  platform_error Failure{platform_cause::Refused, platform_effect::NotApplied,
                         Answer.Status, Error.Message};
  if (Answer.Status < FirstClientError) {
    Failure.Cause = platform_cause::MalformedAnswer;
    Failure.Effect = platform_effect::Unknown;
  } else if (Answer.Status >= FirstServerError ||
             Answer.Status == HttpRequestTimeout) {
    // The service may have forwarded the change before it reported the error.
    Failure.Cause = platform_cause::Faulty;
    Failure.Effect = platform_effect::Unknown;
  } else if (Error.Code == etcd::CodeNotFound) {
    Failure.Cause = platform_cause::LeaseNotFound;
  } else if (Error.Code == etcd::CodeOutOfRange) {
    Failure.Cause = platform_cause::Compacted;
  }
  return Failure;
}

/// Decodes the messages of a watch's stream into batches for a listener.
class watch_reader {
public:
  explicit watch_reader(const platform_store::watch_listener &Listener)
      : Listener(Listener) {}

  /// @returns whether the watch continues.
  bool accept(std::string_view Line) {
    const auto Message = etcd::decodeWatchMessage(Line);
    if (!Message) {
      Failure = malformed(Message.error(), platform_effect::NotApplied);
      return false;
    }
    if (Message.value().Canceled) {
      Failure = platform_error{
          Message.value().CompactRevision != 0 ? platform_cause::Compacted
                                               : platform_cause::Refused,
          platform_effect::NotApplied, HttpOk, "the watch was cancelled"};
      return false;
    }
    Listener(Message.value().Batch);
    return true;
  }

  const std::optional<platform_error> &failure() const { return Failure; }

private:
  const platform_store::watch_listener &Listener;
  std::optional<platform_error> Failure;
};

} // namespace

etcd_platform_store::etcd_platform_store(std::string BaseUrl,
                                         http_channel::limits Limits)
    : Channel(std::move(BaseUrl), Limits) {}

result<std::optional<platform_entry>, platform_error>
etcd_platform_store::get(const std::string &Key) {
  assert(!Key.empty() && "the key must not be empty");
  const auto Body =
      call("/v3/kv/range", etcd::encodeRangeRequest({Key, ""}), access::Read);
  if (!Body)
    return Body.error();
  auto Range = etcd::decodeRange(Body.value());
  if (!Range)
    return malformed(Range.error(), platform_effect::NotApplied);
  auto &Entries = Range.value().Entries;
  if (Entries.empty())
    return std::optional<platform_entry>();
  if (Entries.size() != 1 || Entries.front().Key != Key)
    return platform_error{
        platform_cause::MalformedAnswer, platform_effect::NotApplied, HttpOk,
        "the response contains another key than the requested one"};
  return std::optional(std::move(Entries.front()));
}

result<platform_range, platform_error>
etcd_platform_store::list(const std::string &Prefix) {
  assert(!Prefix.empty() && "the prefix must not be empty");
  const auto Body =
      call("/v3/kv/range",
           etcd::encodeRangeRequest({Prefix, etcd::prefixEnd(Prefix)}),
           access::Read);
  if (!Body)
    return Body.error();
  auto Range = etcd::decodeRange(Body.value());
  if (!Range)
    return malformed(Range.error(), platform_effect::NotApplied);
  for (const platform_entry &Entry : Range.value().Entries)
    if (Entry.Key.compare(0, Prefix.size(), Prefix) != 0)
      return platform_error{
          platform_cause::MalformedAnswer, platform_effect::NotApplied, HttpOk,
          "the response contains a key outside the requested prefix"};
  return std::move(Range.value());
}

result<platform_commit, platform_error>
etcd_platform_store::commit(const platform_transaction &Transaction) {
  const auto Body =
      call("/v3/kv/txn", etcd::encodeTransaction(Transaction), access::Write);
  if (!Body)
    return Body.error();
  auto Commit = etcd::decodeCommit(Body.value());
  if (!Commit)
    return malformed(Commit.error(), platform_effect::Unknown);
  return std::move(Commit.value());
}

result<platform_lease, platform_error>
etcd_platform_store::grantLease(std::chrono::seconds TimeToLive) {
  const auto Body =
      call("/v3/lease/grant", etcd::encodeLeaseGrant(TimeToLive.count()),
           access::Write);
  if (!Body)
    return Body.error();
  const auto Lease = etcd::decodeLease(Body.value());
  if (!Lease)
    return malformed(Lease.error(), platform_effect::Unknown);
  return platform_lease{Lease.value().Id,
                        std::chrono::seconds(Lease.value().TimeToLiveSeconds)};
}

result<platform_lease, platform_error>
etcd_platform_store::renewLease(lease_id Lease) {
  const auto Body =
      call("/v3/lease/keepalive", etcd::encodeLeaseId(Lease), access::Write);
  if (!Body)
    return Body.error();
  const auto Kept = etcd::decodeLeaseRenewal(Body.value());
  if (!Kept)
    return malformed(Kept.error(), platform_effect::Unknown);
  if (Kept.value().TimeToLiveSeconds <= 0)
    return platform_error{platform_cause::LeaseNotFound,
                          platform_effect::NotApplied, HttpOk,
                          "the lease has expired"};
  return platform_lease{Lease,
                        std::chrono::seconds(Kept.value().TimeToLiveSeconds)};
}

result<void, platform_error> etcd_platform_store::revokeLease(lease_id Lease) {
  const auto Body =
      call("/v3/kv/lease/revoke", etcd::encodeLeaseId(Lease), access::Write);
  if (!Body)
    return Body.error();
  return success();
}

result<void, platform_error> etcd_platform_store::watch(
    const std::string &Prefix, platform_revision FromRevision,
    const watch_listener &Listener, const std::atomic<bool> &Stopping) {
  assert(!Prefix.empty() && "the prefix must not be empty");
  watch_reader Reader(Listener);
  auto Ended = Channel.stream(
      "/v3/watch",
      etcd::encodeWatchRequest({Prefix, etcd::prefixEnd(Prefix), FromRevision}),
      [&Reader](std::string_view Line) { return Reader.accept(Line); },
      Stopping);
  if (Reader.failure())
    return *Reader.failure();
  return Ended;
}

result<std::string, platform_error>
etcd_platform_store::call(const std::string &Path, const std::string &Body,
                          access Access) {
  auto Answer = Channel.post(Path, Body);
  if (Answer && Answer.value().Status == HttpOk)
    return std::move(Answer.value().Body);
  platform_error Failure =
      Answer ? failureOfStatus(Answer.value()) : Answer.error();
  if (Access == access::Read)
    Failure.Effect = platform_effect::NotApplied;
  return Failure;
}

} // namespace clementine
