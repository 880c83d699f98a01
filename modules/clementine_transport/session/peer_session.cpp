#include "clementine_transport/session/peer_session.h"

#include <array>
#include <cassert>
#include <cstring>
#include <span>

namespace clementine {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t HintBytes = 4;
constexpr std::size_t HeaderBytes = LengthBytes + HintBytes + PeerTagBytes;
constexpr std::size_t NonceBytes = 16;
constexpr std::size_t CompactThresholdBytes = 1U << 16U;

void appendBigEndian(std::string &Text, std::uint64_t Value,
                     std::size_t Bytes) {
  for (std::size_t Left = Bytes; Left > 0; --Left)
    Text.push_back(static_cast<char>(Value >> (8 * (Left - 1))));
}

std::uint32_t readBigEndian(std::string_view Text) {
  std::uint32_t Value = 0;
  for (std::size_t Index = 0; Index < LengthBytes; ++Index)
    Value = (Value << 8U) | static_cast<unsigned char>(Text[Index]);
  return Value;
}

std::string randomNonce(random_source &Random) {
  std::string Nonce;
  while (Nonce.size() < NonceBytes)
    appendBigEndian(Nonce, Random.next(), sizeof(std::uint64_t));
  return Nonce;
}

std::span<const std::byte> asBytes(std::string_view Text) {
  return std::as_bytes(std::span(Text.data(), Text.size()));
}

peer_tag readTag(std::string_view Header) {
  peer_tag Tag;
  Tag.KeyHint = readBigEndian(Header.substr(LengthBytes));
  std::memcpy(Tag.Bytes.data(), Header.data() + LengthBytes + HintBytes,
              PeerTagBytes);
  return Tag;
}

} // namespace

std::string_view sessionErrorName(session_error Error) {
  static constexpr std::array<std::string_view, 6> Names = {
      "frame too large",
      "bad tag",
      "bad message",
      "unexpected message",
      "protocol version mismatch",
      "silent"};
  return Names.at(static_cast<std::size_t>(Error));
}

peer_session::peer_session(side Side, node_identity Self,
                           const peer_key_ring &Keys, random_source &Random,
                           peer_session_settings Settings, instant Now)
    : Side(Side), Self(std::move(Self)), Keys(Keys), Settings(Settings),
      OwnNonce(randomNonce(Random)), LastReceived(Now),
      NextHeartbeat(Now + Settings.HeartbeatInterval) {
  const auto Encoded =
      encodeMessage(hello{this->Self, PeerProtocolVersion, OwnNonce});
  assert(Encoded.has_value() &&
         "a node's hello must not exceed the field limits");
  // The tag of the acceptor's hello covers the dialler's nonce, so the acceptor
  // sends its hello only after receiving the dialler's.
  if (Side == side::Dialler)
    writeFrame(Encoded.value());
}

result<std::vector<peer_message>, session_error>
peer_session::receive(std::string_view Bytes, instant Now) {
  Input.append(Bytes);
  // Before the hello only a complete, authenticated frame resets the timeout.
  if (Peer)
    LastReceived = Now;
  std::vector<peer_message> Messages;
  std::size_t Begin = 0;
  while (Input.size() - Begin >= HeaderBytes) {
    const std::string_view Rest = std::string_view(Input).substr(Begin);
    const std::uint32_t Length = readBigEndian(Rest);
    if (Length > MaxMessageBytes)
      return session_error::FrameTooLarge;
    if (Rest.size() < HeaderBytes + Length)
      break;
    const auto Processed =
        processFrame(Rest.substr(0, HeaderBytes + Length), Messages);
    if (Processed.has_error())
      return Processed.error();
    LastReceived = Now;
    Begin += HeaderBytes + Length;
  }
  Input.erase(0, Begin);
  return Messages;
}

result<void, session_error>
peer_session::processFrame(std::string_view Frame,
                           std::vector<peer_message> &Messages) {
  const std::string_view Encoded = Frame.substr(HeaderBytes);
  const side Sender = Side == side::Dialler ? side::Acceptor : side::Dialler;
  const std::string MacInput = macInput(Sender, NextToReceive, Encoded);
  if (!Keys.verify(asBytes(MacInput), readTag(Frame)))
    return session_error::BadTag;
  ++NextToReceive;
  auto Decoded = decodeMessage(Encoded);
  if (Decoded.has_error())
    return session_error::BadMessage;
  if (!Peer)
    return processHello(Decoded.value());
  if (std::holds_alternative<hello>(Decoded.value()))
    return session_error::UnexpectedMessage;
  if (const auto *Beat = std::get_if<heartbeat>(&Decoded.value())) {
    if (!Beat->IsReply)
      send(heartbeat{Beat->Number, true});
    return success();
  }
  Messages.push_back(std::move(Decoded.value()));
  return success();
}

result<void, session_error>
peer_session::processHello(const peer_message &Message) {
  const auto *Hello = std::get_if<hello>(&Message);
  if (Hello == nullptr || Hello->Nonce.size() != NonceBytes)
    return session_error::UnexpectedMessage;
  if (Hello->ProtocolVersion != PeerProtocolVersion)
    return session_error::VersionMismatch;
  Peer = Hello->Node;
  PeerNonce = Hello->Nonce;
  if (Side == side::Acceptor)
    writeFrame(
        encodeMessage(hello{Self, PeerProtocolVersion, OwnNonce}).value());
  for (const std::string &Encoded : QueuedUntilHello)
    writeFrame(Encoded);
  QueuedUntilHello.clear();
  QueuedBytes = 0;
  return success();
}

bool peer_session::send(const peer_message &Message) {
  auto Encoded = encodeMessage(Message);
  if (Encoded.has_error())
    return false;
  const std::size_t Pending = output().size() + QueuedBytes;
  if (Pending + Encoded.value().size() > Settings.MaxPendingBytes)
    return false;
  if (Peer) {
    writeFrame(Encoded.value());
    return true;
  }
  QueuedBytes += Encoded.value().size();
  QueuedUntilHello.push_back(std::move(Encoded.value()));
  return true;
}

result<void, session_error> peer_session::tick(instant Now) {
  if (Now - LastReceived > Settings.ReceiveTimeout)
    return session_error::TimedOut;
  if (Now < NextHeartbeat)
    return success();
  NextHeartbeat = Now + Settings.HeartbeatInterval;
  if (Peer)
    send(heartbeat{++HeartbeatNumber, false});
  return success();
}

void peer_session::consumeOutput(std::size_t Count) {
  Written += Count;
  if (Written == Output.size()) {
    Output.clear();
    Written = 0;
  } else if (Written > CompactThresholdBytes) {
    Output.erase(0, Written);
    Written = 0;
  }
}

void peer_session::writeFrame(const std::string &Encoded) {
  const std::string MacInput = macInput(Side, NextToSend, Encoded);
  ++NextToSend;
  const peer_tag Tag = Keys.sign(asBytes(MacInput));
  appendBigEndian(Output, Encoded.size(), LengthBytes);
  appendBigEndian(Output, Tag.KeyHint, HintBytes);
  Output.append(reinterpret_cast<const char *>(Tag.Bytes.data()), PeerTagBytes);
  Output.append(Encoded);
}

std::string peer_session::macInput(side Sender, std::uint64_t Number,
                                   std::string_view Encoded) const {
  const std::string &DiallerNonce =
      Side == side::Dialler ? OwnNonce : PeerNonce;
  const std::string &AcceptorNonce =
      Side == side::Dialler ? PeerNonce : OwnNonce;
  std::string MacInput;
  MacInput.reserve(2 * NonceBytes + 1 + sizeof(Number) + Encoded.size());
  MacInput.push_back(static_cast<char>(Sender));
  appendBigEndian(MacInput, Number, sizeof(Number));
  // The first frame of a side carries that side's nonce in its hello, so in
  // addition its tag can cover only a nonce received earlier: none for the
  // dialler, the dialler's nonce for the acceptor.
  const bool FirstOfDialler = Sender == side::Dialler && Number == 0;
  const bool FirstOfAcceptor = Sender == side::Acceptor && Number == 0;
  if (!FirstOfDialler)
    MacInput.append(DiallerNonce);
  if (!FirstOfDialler && !FirstOfAcceptor)
    MacInput.append(AcceptorNonce);
  MacInput.append(Encoded);
  return MacInput;
}

} // namespace clementine
