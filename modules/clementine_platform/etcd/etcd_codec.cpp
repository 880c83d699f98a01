#include "clementine_platform/etcd/etcd_codec.h"

#include "clementine_platform/etcd/base64.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace clementine::etcd {

namespace {

using json = nlohmann::json;
using fault = codec_error::fault;

/// The longest text of an unknown error that is kept for logs.
constexpr std::size_t LongestMessage = 200;

constexpr std::array<std::string_view, 6> FaultNames = {
    "not JSON",         "not an object", "wrong type", "not a 64-bit number",
    "not whole base64", "missing"};

constexpr std::array<std::string_view, 3> TargetNames = {"MOD", "VERSION",
                                                         "CREATE"};
constexpr std::array<const char *, 3> TargetFields = {"mod_revision", "version",
                                                      "create_revision"};
constexpr std::array<std::string_view, 4> RelationNames = {"EQUAL", "GREATER",
                                                           "LESS", "NOT_EQUAL"};

template <std::size_t Count>
std::optional<std::size_t>
indexOf(const std::array<std::string_view, Count> &Names,
        std::string_view Name) {
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Names[Index] == Name)
      return Index;
  return std::nullopt;
}

/// Reads the fields of one JSON object. The first fault is kept, and later
/// reads then give empty values, so that a decoder checks once at its end.
class object_reader {
public:
  explicit object_reader(const json &Object, std::optional<codec_error> &Failed)
      : Object(Object), Failed(Failed) {
    if (!Object.is_object())
      fail(fault::NotAnObject, "");
  }

  std::int64_t number(const char *Field) const {
    const json *Value = find(Field);
    if (Value == nullptr)
      return 0;
    if (Value->is_number_integer())
      return Value->get<std::int64_t>();
    if (!Value->is_string())
      return failNumber(fault::WrongType, Field);
    const auto &Text = Value->get_ref<const std::string &>();
    std::int64_t Number = 0;
    const char *End = Text.data() + Text.size();
    const auto Parsed = std::from_chars(Text.data(), End, Number);
    if (Parsed.ec != std::errc() || Parsed.ptr != End)
      return failNumber(fault::BadNumber, Field);
    return Number;
  }

  bool flag(const char *Field) const {
    const json *Value = find(Field);
    if (Value == nullptr)
      return false;
    if (!Value->is_boolean()) {
      fail(fault::WrongType, Field);
      return false;
    }
    return Value->get<bool>();
  }

  std::string text(const char *Field) const {
    const json *Value = find(Field);
    if (Value == nullptr)
      return {};
    if (!Value->is_string()) {
      fail(fault::WrongType, Field);
      return {};
    }
    return Value->get<std::string>();
  }

  std::string bytes(const char *Field) const {
    auto Bytes = decodeBase64(text(Field));
    if (!Bytes) {
      fail(fault::BadBase64, Field);
      return {};
    }
    return std::move(*Bytes);
  }

  /// Calls @p Read with a reader for each element of an array of objects.
  template <class Function>
  void forEach(const char *Field, Function Read) const {
    const json *Value = find(Field);
    if (Value == nullptr)
      return;
    if (!Value->is_array()) {
      fail(fault::WrongType, Field);
      return;
    }
    for (const json &Element : *Value)
      Read(object_reader(Element, Failed));
  }

  /// Calls @p Read with a reader for a member object, if it is there.
  /// @returns whether it is.
  template <class Function> bool with(const char *Field, Function Read) const {
    const json *Value = find(Field);
    if (Value == nullptr)
      return false;
    Read(object_reader(*Value, Failed));
    return true;
  }

  void fail(fault Fault, const char *Field) const {
    if (!Failed)
      Failed = codec_error{Fault, Field};
  }

private:
  const json *find(const char *Field) const {
    if (Failed)
      return nullptr;
    const auto Found = Object.find(Field);
    return Found == Object.end() || Found->is_null() ? nullptr : &*Found;
  }

  std::int64_t failNumber(fault Fault, const char *Field) const {
    fail(Fault, Field);
    return 0;
  }

  const json &Object;
  std::optional<codec_error> &Failed;
};

/// Parses @p Text and lets @p Read fill a value from it.
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
  const bool Found = Message.with("header", [&](const object_reader &Header) {
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
  const auto Target = indexOf(TargetNames, Object.text("target"));
  const auto Relation = indexOf(RelationNames, Object.text("result"));
  if (!Target || !Relation) {
    Object.fail(fault::WrongType, "compare");
    return Compare;
  }
  Compare.Field = static_cast<platform_compare::field>(*Target);
  Compare.Relation = static_cast<platform_compare::relation>(*Relation);
  Compare.Number = Object.number(TargetFields[*Target]);
  return Compare;
}

void readChange(const object_reader &Object,
                platform_transaction &Transaction) {
  const bool IsPut = Object.with("request_put", [&](const object_reader &Put) {
    Transaction.Puts.push_back(
        {Put.bytes("key"), Put.bytes("value"), Put.number("lease")});
  });
  const bool IsDelete =
      Object.with("request_delete_range", [&](const object_reader &Delete) {
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
  const bool Found = Object.with("kv", [&](const object_reader &Entry) {
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
          {"target", TargetNames.at(Target)},
          {"result", RelationNames.at(Relation)},
          {TargetFields.at(Target), std::to_string(Compare.Number)}};
}

json putJson(const platform_put &Put) {
  json Request = {{"key", encodeBase64(Put.Key)},
                  {"value", encodeBase64(Put.Value)}};
  if (Put.Lease != 0)
    Request["lease"] = std::to_string(Put.Lease);
  return {{"request_put", Request}};
}

} // namespace

std::string codec_error::text() const {
  std::string Text(FaultNames.at(static_cast<std::size_t>(Fault)));
  if (!Field.empty())
    Text += ": " + Field;
  return Text;
}

std::string prefixEnd(std::string Prefix) {
  while (!Prefix.empty() && static_cast<unsigned char>(Prefix.back()) == 0xff)
    Prefix.pop_back();
  if (Prefix.empty())
    // One zero byte as the end means: every key from the start on.
    return std::string(1, '\0');
  ++Prefix.back();
  return Prefix;
}

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

std::string encodeKeptLease(const lease_message &Lease) {
  json Result = {{"header", header(0)}, {"ID", std::to_string(Lease.Id)}};
  // A lapsed lease is answered without a time to live.
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

result<platform_range, codec_error> decodeRange(std::string_view Text) {
  return decode<platform_range>(
      Text, [](const object_reader &Message, platform_range &Range) {
        Range.Revision = readRevision(Message);
        readEntries(Message, Range.Entries);
      });
}

result<platform_commit, codec_error> decodeCommit(std::string_view Text) {
  return decode<platform_commit>(
      Text, [](const object_reader &Message, platform_commit &Commit) {
        Commit.Revision = readRevision(Message);
        Commit.Succeeded = Message.flag("succeeded");
        Message.forEach("responses", [&](const object_reader &Response) {
          Response.with("response_range", [&](const object_reader &Range) {
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

result<lease_message, codec_error> decodeKeptLease(std::string_view Text) {
  return decode<lease_message>(Text, [](const object_reader &Message,
                                        lease_message &Lease) {
    const bool Found = Message.with("result", [&](const object_reader &Result) {
      Lease.Id = Result.number("ID");
      Lease.TimeToLiveSeconds = Result.number("TTL");
    });
    if (!Found)
      Message.fail(fault::Missing, "result");
  });
}

result<watch_message, codec_error> decodeWatchMessage(std::string_view Text) {
  return decode<watch_message>(Text, [](const object_reader &Object,
                                        watch_message &Message) {
    const bool Found = Object.with("result", [&](const object_reader &Result) {
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
              Read.with("request_range", [&](const object_reader &Range) {
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
  return decode<watch_request>(
      Text, [](const object_reader &Message, watch_request &Request) {
        const bool Found =
            Message.with("create_request", [&](const object_reader &Create) {
              Request.Key = Create.bytes("key");
              Request.RangeEnd = Create.bytes("range_end");
              Request.StartRevision = Create.number("start_revision");
            });
        if (!Found)
          Message.fail(fault::Missing, "create_request");
      });
}

} // namespace clementine::etcd
