#include "clementine_membership/messages/datagram_codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/common.hpp>

#include <array>
#include <cstring>
#include <limits>
#include <ostream>
#include <streambuf>
#include <utility>

namespace clementine {

namespace {

constexpr std::uint8_t ProtocolVersion = 1;
constexpr std::size_t KeyHintBytes = 4;
constexpr std::size_t SealBytes = KeyHintBytes + PeerTagBytes;

constexpr std::array<std::string_view, 5> FaultTexts = {
    "datagram longer than the maximum size", "datagram too short for a tag",
    "tag does not verify under any key", "unsupported protocol version",
    "malformed body"};

/// A stream buffer that appends to a vector of bytes.
class appending_buffer final : public std::streambuf {
public:
  explicit appending_buffer(std::vector<std::byte> &Bytes) : Bytes(Bytes) {}

private:
  std::streamsize xsputn(const char *Data, std::streamsize Size) override {
    const auto *First = reinterpret_cast<const std::byte *>(Data);
    Bytes.insert(Bytes.end(), First, First + Size);
    return Size;
  }
  int_type overflow(int_type Character) override {
    Bytes.push_back(static_cast<std::byte>(Character));
    return Character;
  }

  std::vector<std::byte> &Bytes;
};

/// A stream buffer that only counts the bytes written.
class counting_buffer final : public std::streambuf {
public:
  std::size_t Count = 0;

private:
  std::streamsize xsputn(const char *, std::streamsize Size) override {
    Count += static_cast<std::size_t>(Size);
    return Size;
  }
  int_type overflow(int_type Character) override {
    ++Count;
    return Character;
  }
};

/// A stream buffer that reads from a span.
class reading_buffer final : public std::streambuf {
public:
  explicit reading_buffer(std::span<const std::byte> Bytes) {
    // std::streambuf requires mutable characters, but nothing writes to them.
    auto *First =
        const_cast<char *>(reinterpret_cast<const char *>(Bytes.data()));
    setg(First, First, First + Bytes.size());
  }
  bool atEnd() const { return gptr() == egptr(); }
};

/// Throws cereal's exception type, so that one handler catches all malformed
/// input.
void require(bool Condition) {
  if (!Condition)
    throw cereal::Exception("malformed datagram");
}

/// A text with a one-byte length prefix and a maximum length.
template <class Archive>
void field(Archive &Data, std::string &Text, std::size_t MaxBytes) {
  auto Size = static_cast<std::uint8_t>(Text.size());
  Data(Size);
  require(Size <= MaxBytes);
  Text.resize(Size);
  Data(cereal::binary_data(Text.data(), Size));
}

template <class Archive, class Enumeration>
void field(Archive &Data, Enumeration &Value, Enumeration Last) {
  auto Number = static_cast<std::uint8_t>(Value);
  Data(Number);
  require(Number <= static_cast<std::uint8_t>(Last));
  Value = static_cast<Enumeration>(Number);
}

/// The one-byte count limits a list to 255 items and reading beyond the end of
/// the datagram throws, so a received count needs no further check.
template <class Archive, class Item, class Each>
void list(Archive &Data, std::vector<Item> &Items, Each EachItem) {
  auto Count = static_cast<std::uint8_t>(Items.size());
  require(Items.size() <= std::numeric_limits<std::uint8_t>::max());
  Data(Count);
  Items.resize(Count);
  for (Item &Value : Items)
    EachItem(Data, Value);
}

template <class Archive>
void endpointFields(Archive &Data, endpoint &Endpoint) {
  field(Data, Endpoint.Host, MaxHostBytes);
  Data(Endpoint.Port);
}

/// Omits the host if it equals @p Host, since most nodes use one host for all
/// endpoints.
template <class Archive>
void endpointWithSharedHost(Archive &Data, endpoint &Endpoint,
                            const std::string &Host) {
  std::string Other = Endpoint.Host == Host ? std::string() : Endpoint.Host;
  field(Data, Other, MaxHostBytes);
  Data(Endpoint.Port);
  Endpoint.Host = Other.empty() ? Host : Other;
}

template <class Archive> void claim(Archive &Data, member_claim &Claim) {
  member_record &Record = Claim.Record;
  field(Data, Record.Identity.Name, MaxMemberNameBytes);
  Data(Record.Identity.Incarnation, Claim.Revision);
  field(Data, Record.DataCentre, MaxDataCentreNameBytes);
  field(Data, Record.Service, MaxServiceNameBytes);
  endpointFields(Data, Record.Gossip);
  endpointWithSharedHost(Data, Record.Peer, Record.Gossip.Host);
  endpointWithSharedHost(Data, Record.Http, Record.Gossip.Host);
  field(Data, Record.State, member_state::Left);
  Data(Record.Weight, Record.AdmissionLevel);
  field(Data, Claim.Accused.Level, accusation_level::Dead);
  if (Claim.Accused.Level != accusation_level::None)
    Data(Claim.Accused.Incarnation);
  require(isWellFormed(Record) && Record.State != member_state::Suspect &&
          Record.State != member_state::Dead);
}

bool isAccusation(member_state State) {
  return State == member_state::Suspect || State == member_state::Dead;
}

template <class Archive> void update(Archive &Data, state_update &Update) {
  Data(Update.Key, Update.Incarnation);
  field(Data, Update.State, member_state::Left);
  if (Update.State != member_state::Dead)
    Data(Update.RevisionOrAccuser);
  if (!isAccusation(Update.State))
    Data(Update.ContentHash);
}

template <class Archive>
void syncFields(Archive &Data, gossip_message &Message) {
  if (Message.Kind == message_kind::SyncDigest)
    Data(Message.ViewDigest, Message.LiveMembers);
  if (Message.Kind == message_kind::SyncBuckets)
    list(Data, Message.BucketDigests,
         [](Archive &To, std::uint32_t &Digest) { To(Digest); });
  if (Message.Kind != message_kind::SyncEntries)
    return;
  Data(Message.BucketMask);
  list(Data, Message.Entries,
       [](Archive &To, sync_entry &Entry) { To(Entry.Key, Entry.StampHash); });
}

template <class Archive>
void queryFields(Archive &Data, gossip_message &Message) {
  field(Data, Message.DataCentreName, MaxDataCentreNameBytes);
  Data(Message.LiveMembers);
  list(Data, Message.Services, [](Archive &To, service_digest &Service) {
    To(Service.Service, Service.Members);
  });
  list(Data, Message.Contacts, [](Archive &To, data_centre_contact &Contact) {
    field(To, Contact.DataCentre, MaxDataCentreNameBytes);
    endpointFields(To, Contact.Gossip);
  });
}

template <class Archive> void body(Archive &Data, gossip_message &Message) {
  field(Data, Message.Kind, message_kind::Answer);
  Data(Message.Sender, Message.Incarnation, Message.Sequence,
       Message.DataCentre, Message.AdmissionLevel, Message.Bundle.Version,
       Message.Bundle.Digest);
  if (Message.Kind <= message_kind::Nack)
    Data(Message.Nonce, Message.Subject);
  syncFields(Data, Message);
  if (Message.Kind >= message_kind::Query)
    queryFields(Data, Message);
  list(Data, Message.Updates, update<Archive>);
  list(Data, Message.Claims, claim<Archive>);
  list(Data, Message.RequestedKeys,
       [](Archive &To, member_key &Key) { To(Key); });
}

using writer = cereal::PortableBinaryOutputArchive;
using reader = cereal::PortableBinaryInputArchive;

/// Writing does not modify the message, but body() serves both directions and
/// takes a mutable reference.
void write(std::streambuf &Buffer, const gossip_message &Message) {
  std::ostream Stream(&Buffer);
  writer Data(Stream);
  Data(ProtocolVersion);
  body(Data, const_cast<gossip_message &>(Message));
}

void appendSeal(std::vector<std::byte> &Bytes, const peer_tag &Tag) {
  for (std::size_t Shift = 0; Shift < KeyHintBytes; ++Shift)
    Bytes.push_back(static_cast<std::byte>(Tag.KeyHint >> (8 * Shift)));
  Bytes.insert(Bytes.end(), Tag.Bytes.begin(), Tag.Bytes.end());
}

peer_tag readSeal(std::span<const std::byte> Bytes) {
  peer_tag Tag;
  for (std::size_t Shift = 0; Shift < KeyHintBytes; ++Shift)
    Tag.KeyHint |= std::to_integer<std::uint32_t>(Bytes[Shift]) << (8 * Shift);
  std::memcpy(Tag.Bytes.data(), Bytes.data() + KeyHintBytes, PeerTagBytes);
  return Tag;
}

} // namespace

std::uint32_t shortHash(std::string_view Name) {
  return static_cast<std::uint32_t>(stableHash(Name));
}

std::string_view datagramFaultText(datagram_fault Fault) {
  return FaultTexts.at(static_cast<std::size_t>(Fault));
}

std::vector<std::byte> datagram_codec::seal(const gossip_message &Message) {
  std::vector<std::byte> Bytes;
  Bytes.reserve(MaxDatagramBytes);
  appending_buffer Buffer(Bytes);
  write(Buffer, Message);
  appendSeal(Bytes, Keys.sign(Bytes));
  return Bytes;
}

result<gossip_message, datagram_fault>
datagram_codec::open(std::span<const std::byte> Bytes) {
  if (Bytes.size() > MaxDatagramBytes)
    return datagram_fault::TooLong;
  if (Bytes.size() < SealBytes)
    return datagram_fault::TooShort;
  const auto Body = Bytes.first(Bytes.size() - SealBytes);
  if (!Keys.verify(Body, readSeal(Bytes.last(SealBytes))))
    return datagram_fault::BadTag;
  try {
    reading_buffer Buffer(Body);
    std::istream Stream(&Buffer);
    reader Data(Stream);
    std::uint8_t Version = 0;
    Data(Version);
    if (Version != ProtocolVersion)
      return datagram_fault::WrongVersion;
    gossip_message Message;
    body(Data, Message);
    if (!Buffer.atEnd())
      return datagram_fault::Malformed;
    return Message;
  } catch (const cereal::Exception &) {
    return datagram_fault::Malformed;
  }
}

std::size_t datagram_codec::sealedSize(const gossip_message &Message) {
  counting_buffer Counter;
  write(Counter, Message);
  return Counter.Count + SealBytes;
}

std::size_t datagram_codec::sizeOf(const member_claim &Claim) {
  counting_buffer Counter;
  std::ostream Stream(&Counter);
  writer Data(Stream);
  // The archive's constructor writes one byte for the byte order.
  const std::size_t Before = Counter.Count;
  claim(Data, const_cast<member_claim &>(Claim));
  return Counter.Count - Before;
}

} // namespace clementine
