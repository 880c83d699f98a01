#include "clementine_wire/codec/message_codec.h"

#include "clementine_wire/codec/bounded_field.h"
#include "clementine_wire/codec/byte_buffers.h"

#include <cereal/archives/portable_binary.hpp>

#include <array>
#include <istream>
#include <sstream>
#include <type_traits>

namespace clementine {

namespace {

constexpr std::uint32_t MaxNameBytes = 128;
constexpr std::uint32_t MaxKeyBytes = 512;
constexpr std::uint32_t MaxHeaderValueBytes = 8192;
constexpr std::uint32_t MaxHeaders = 64;

bounded_string name(std::string &Text) { return {Text, MaxNameBytes}; }
bounded_string key(std::string &Text) { return {Text, MaxKeyBytes}; }
bounded_string body(std::string &Text) { return {Text, MaxBodyBytes}; }

template <class Archive, class Enumeration>
void enumerator(Archive &Fields, Enumeration &Value, std::uint8_t Count) {
  auto Number = static_cast<std::uint8_t>(Value);
  Fields(Number);
  if (Number >= Count)
    throw std::out_of_range("enumerator out of range");
  Value = static_cast<Enumeration>(Number);
}

} // namespace

// The functions below both encode and decode; cereal finds them by name.

template <class Archive> void serialize(Archive &Fields, request_id &Id) {
  Fields(Id.High, Id.Low);
}

template <class Archive> void serialize(Archive &Fields, node_identity &Node) {
  Fields(name(Node.Name), Node.Incarnation);
}

template <class Archive> void serialize(Archive &Fields, header_field &Header) {
  Fields(name(Header.Name), bounded_string{Header.Value, MaxHeaderValueBytes});
}

template <class Archive>
void serialize(Archive &Fields, http_payload &Payload) {
  Fields(name(Payload.Method),
         bounded_list<header_field>{Payload.Headers, MaxHeaders},
         body(Payload.Body));
}

template <class Archive> void serialize(Archive &Fields, http_answer &Answer) {
  Fields(Answer.Status, bounded_list<header_field>{Answer.Headers, MaxHeaders},
         body(Answer.Body));
}

template <class Archive>
void serialize(Archive &Fields, request_context &Context) {
  Fields(Context.Request, name(Context.Caller), key(Context.Key));
  enumerator(Fields, Context.Importance, ImportanceLevels);
  enumerator(Fields, Context.Send, 3);
  Fields(Context.Depth, Context.WorkDone, Context.RemainingMicroseconds,
         Context.RetryBudget, name(Context.TraceParent));
}

template <class Archive> void serialize(Archive &Fields, run_request &Request) {
  Fields(Request.Run, Request.Context, name(Request.Service),
         name(Request.Operation), Request.Repeatable, Request.Claim,
         Request.Payload);
}

template <class Archive> void serialize(Archive &Fields, run_answer &Answer) {
  Fields(Answer.Run);
  enumerator(Fields, Answer.Outcome, 3);
  enumerator(Fields, Answer.Reason, RefusalCount);
  Fields(Answer.Answer, Answer.ReturnedBudget, Answer.AdmissionLevel,
         Answer.PathLevel, Answer.Leaving);
}

template <class Archive> void serialize(Archive &Fields, run_query &Query) {
  Fields(Query.Run, key(Query.Key), Query.Claim);
}

template <class Archive>
void serialize(Archive &Fields, run_not_found &NotFound) {
  Fields(NotFound.Run);
}

template <class Archive> void serialize(Archive &Fields, run_cancel &Cancel) {
  Fields(Cancel.Run);
}

template <class Archive> void serialize(Archive &Fields, heartbeat &Beat) {
  Fields(Beat.Number, Beat.IsReply);
}

template <class Archive> void serialize(Archive &Fields, hello &Hello) {
  Fields(Hello.Node, Hello.ProtocolVersion, name(Hello.Nonce));
}

template <class Archive> void serialize(Archive &Fields, bundle_fetch &Fetch) {
  Fields(Fetch.HaveVersion);
}

template <class Archive>
void serialize(Archive &Fields, bundle_transfer &Transfer) {
  Fields(body(Transfer.Update));
}

namespace {

using decoder = peer_message (*)(cereal::PortableBinaryInputArchive &);

template <class Message>
peer_message decodeFields(cereal::PortableBinaryInputArchive &Fields) {
  Message Decoded;
  Fields(Decoded);
  return Decoded;
}

template <std::size_t... Kinds>
constexpr auto makeDecoders(std::index_sequence<Kinds...>) {
  return std::array<decoder, sizeof...(Kinds)>{
      decodeFields<std::variant_alternative_t<Kinds, peer_message>>...};
}

/// One decoder for each message kind, in the order of the variant.
constexpr auto Decoders =
    makeDecoders(std::make_index_sequence<std::variant_size_v<peer_message>>{});

} // namespace

result<std::string, codec_error> encodeMessage(const peer_message &Message) {
  std::ostringstream Bytes;
  Bytes.put(static_cast<char>(Message.index()));
  try {
    cereal::PortableBinaryOutputArchive Fields(Bytes);
    std::visit(
        [&Fields](const auto &Kind) {
          // The serialize() functions take a mutable reference for decoding;
          // encoding does not change the fields.
          using kind = std::remove_cvref_t<decltype(Kind)>;
          Fields(const_cast<kind &>(Kind));
        },
        Message);
  } catch (const std::exception &) {
    return codec_error::Malformed;
  }
  return std::move(Bytes).str();
}

result<peer_message, codec_error> decodeMessage(std::string_view Bytes) {
  if (Bytes.empty() || Bytes.size() > MaxMessageBytes)
    return codec_error::Malformed;
  const auto Kind = static_cast<unsigned char>(Bytes.front());
  if (Kind >= Decoders.size())
    return codec_error::UnknownKind;
  view_buffer Buffer(Bytes.substr(1));
  std::istream Stream(&Buffer);
  try {
    cereal::PortableBinaryInputArchive Fields(Stream);
    peer_message Message = Decoders.at(Kind)(Fields);
    if (Buffer.in_avail() > 0)
      return codec_error::TrailingBytes;
    return Message;
  } catch (const std::out_of_range &) {
    return codec_error::BadEnumerator;
  } catch (const std::exception &) {
    return codec_error::Malformed;
  }
}

} // namespace clementine
