#include "clementine_platform/etcd/etcd_decoder.h"

#include "clementine_platform/etcd/object_reader.h"

#include <array>
#include <optional>
#include <utility>

namespace clementine::etcd {

namespace {

using json = nlohmann::json;
using fault = codec_error::fault;

/// The maximum length of an error message, in bytes.
constexpr std::size_t LongestMessage = 200;

template <std::size_t Count>
std::optional<std::size_t>
indexOf(const std::array<std::string_view, Count> &Names,
        std::string_view Name) {
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Names[Index] == Name)
      return Index;
  return std::nullopt;
}

/// Parses @p Text and calls @p Read to fill a value from it.
template <class Value, class Function>
result<Value, codec_error> decode(std::string_view Text, Function Read) {
  const json Message = json::parse(Text, nullptr, false);
  if (Message.is_discarded())
    return codec_error{fault::NotJson, ""};
  std::optional<codec_error> Failed;
  Value Decoded{};
  Read(object_reader(Message, Failed), Decoded);
  if (Failed)
    return std::move(*Failed);
  return Decoded;
}

platform_revision readRevision(const object_reader &Message) {
  platform_revision Revision = 0;
  const bool Found =
      Message.withObject("header", [&](const object_reader &Header) {
        Revision = Header.number("revision");
      });
  if (!Found)
    Message.fail(fault::Missing, "header");
  return Revision;
}

platform_entry readEntry(const object_reader &Object) {
  platform_entry Entry;
  Entry.Key = Object.bytes("key");
  Entry.Value = Object.bytes("value");
  Entry.CreateRevision = Object.number("create_revision");
  Entry.ModRevision = Object.number("mod_revision");
  Entry.Version = Object.number("version");
  Entry.Lease = Object.number("lease");
  return Entry;
}

void readEntries(const object_reader &Object,
                 std::vector<platform_entry> &Entries) {
  Object.forEach("kvs", [&](const object_reader &Element) {
    Entries.push_back(readEntry(Element));
  });
}

platform_compare readCompare(const object_reader &Object) {
  platform_compare Compare;
  Compare.Key = Object.bytes("key");
  const auto Target = indexOf(CompareTargets, Object.text("target"));
  const auto Relation = indexOf(CompareRelations, Object.text("result"));
  if (!Target || !Relation) {
    Object.fail(fault::WrongType, "compare");
    return Compare;
  }
  Compare.Field = static_cast<platform_compare::field>(*Target);
  Compare.Relation = static_cast<platform_compare::relation>(*Relation);
  Compare.Number = Object.number(CompareFields[*Target]);
  return Compare;
}

void readChange(const object_reader &Object,
                platform_transaction &Transaction) {
  const bool IsPut =
      Object.withObject("request_put", [&](const object_reader &Put) {
        Transaction.Puts.push_back(
            {Put.bytes("key"), Put.bytes("value"), Put.number("lease")});
      });
  const bool IsDelete = Object.withObject(
      "request_delete_range", [&](const object_reader &Delete) {
        Transaction.Deletes.push_back(Delete.bytes("key"));
      });
  if (!IsPut && !IsDelete)
    Object.fail(fault::Missing, "request_put");
}

platform_event readEvent(const object_reader &Object) {
  platform_event Event;
  const std::string Kind = Object.text("type");
  if (Kind == "DELETE")
    Event.Kind = platform_event::kind::Delete;
  else if (!Kind.empty() && Kind != "PUT")
    Object.fail(fault::WrongType, "type");
  const bool Found = Object.withObject("kv", [&](const object_reader &Entry) {
    Event.Entry = readEntry(Entry);
  });
  if (!Found)
    Object.fail(fault::Missing, "kv");
  return Event;
}

void readWatchResult(const object_reader &Result, watch_message &Message) {
  Message.Batch.Revision = readRevision(Result);
  Message.Created = Result.flag("created");
  Message.Canceled = Result.flag("canceled");
  Message.CompactRevision = Result.number("compact_revision");
  Result.forEach("events", [&](const object_reader &Event) {
    Message.Batch.Events.push_back(readEvent(Event));
  });
}

} // namespace

result<platform_range, codec_error> decodeRange(std::string_view Text) {
  return decode<platform_range>(
      Text, [](const object_reader &Message, platform_range &Range) {
        Range.Revision = readRevision(Message);
        readEntries(Message, Range.Entries);
      });
}

result<platform_commit, codec_error> decodeCommit(std::string_view Text) {
  return decode<platform_commit>(Text, [](const object_reader &Message,
                                          platform_commit &Commit) {
    Commit.Revision = readRevision(Message);
    Commit.Succeeded = Message.flag("succeeded");
    Message.forEach("responses", [&](const object_reader &Response) {
      Response.withObject("response_range", [&](const object_reader &Range) {
        readEntries(Range, Commit.Entries);
      });
    });
  });
}

result<lease_message, codec_error> decodeLease(std::string_view Text) {
  return decode<lease_message>(
      Text, [](const object_reader &Message, lease_message &Lease) {
        Lease.Id = Message.number("ID");
        Lease.TimeToLiveSeconds = Message.number("TTL");
        if (Lease.Id == 0)
          Message.fail(fault::Missing, "ID");
      });
}

result<lease_message, codec_error> decodeLeaseRenewal(std::string_view Text) {
  return decode<lease_message>(
      Text, [](const object_reader &Message, lease_message &Lease) {
        const bool Found =
            Message.withObject("result", [&](const object_reader &Result) {
              Lease.Id = Result.number("ID");
              Lease.TimeToLiveSeconds = Result.number("TTL");
            });
        if (!Found)
          Message.fail(fault::Missing, "result");
      });
}

result<watch_message, codec_error> decodeWatchMessage(std::string_view Text) {
  return decode<watch_message>(
      Text, [](const object_reader &Object, watch_message &Message) {
        const bool Found =
            Object.withObject("result", [&](const object_reader &Result) {
              readWatchResult(Result, Message);
            });
        if (!Found)
          Object.fail(fault::Missing, "result");
      });
}

gateway_error decodeGatewayError(std::string_view Text) {
  auto Decoded = decode<gateway_error>(
      Text, [](const object_reader &Message, gateway_error &Error) {
        Error.Code = Message.number("code");
        Error.Message = Message.text("message");
      });
  gateway_error Error =
      Decoded ? std::move(Decoded.value())
              : gateway_error{0, std::string(Text.substr(0, LongestMessage))};
  if (Error.Message.size() > LongestMessage)
    Error.Message.resize(LongestMessage);
  return Error;
}

result<range_request, codec_error> decodeRangeRequest(std::string_view Text) {
  return decode<range_request>(
      Text, [](const object_reader &Message, range_request &Request) {
        Request.Key = Message.bytes("key");
        Request.RangeEnd = Message.bytes("range_end");
        if (Request.Key.empty())
          Message.fail(fault::Missing, "key");
      });
}

result<platform_transaction, codec_error>
decodeTransaction(std::string_view Text) {
  return decode<platform_transaction>(
      Text, [](const object_reader &Message, platform_transaction &Decoded) {
        Message.forEach("compare", [&](const object_reader &Compare) {
          Decoded.Compares.push_back(readCompare(Compare));
        });
        Message.forEach("success", [&](const object_reader &Change) {
          readChange(Change, Decoded);
        });
        Message.forEach("failure", [&](const object_reader &Read) {
          const bool Found =
              Read.withObject("request_range", [&](const object_reader &Range) {
                Decoded.ReadsOnFailure.push_back(Range.bytes("key"));
              });
          if (!Found)
            Read.fail(fault::Missing, "request_range");
        });
      });
}

result<lease_message, codec_error> decodeLeaseRequest(std::string_view Text) {
  return decode<lease_message>(
      Text, [](const object_reader &Message, lease_message &Lease) {
        Lease.Id = Message.number("ID");
        Lease.TimeToLiveSeconds = Message.number("TTL");
      });
}

result<watch_request, codec_error> decodeWatchRequest(std::string_view Text) {
  return decode<watch_request>(Text, [](const object_reader &Message,
                                        watch_request &Request) {
    const bool Found =
        Message.withObject("create_request", [&](const object_reader &Create) {
          Request.Key = Create.bytes("key");
          Request.RangeEnd = Create.bytes("range_end");
          Request.StartRevision = Create.number("start_revision");
        });
    if (!Found)
      Message.fail(fault::Missing, "create_request");
  });
}

} // namespace clementine::etcd
