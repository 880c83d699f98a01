#include "virtual_network.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

member_claim anyClaim() {
  member_claim Claim;
  Claim.Record = virtual_network::recordOf(
      *rc::gen::inRange<std::size_t>(0, 100'000), "one", "catalogue");
  Claim.Record.Identity.Incarnation = *rc::gen::arbitrary<std::uint64_t>();
  Claim.Record.Peer.Host = *rc::gen::element<std::string>("", "10.1.2.3");
  if (Claim.Record.Peer.Host.empty())
    Claim.Record.Peer.Host = Claim.Record.Gossip.Host;
  Claim.Revision = *rc::gen::arbitrary<std::uint32_t>();
  if (*rc::gen::arbitrary<bool>())
    Claim.Accused = {Claim.Record.Identity.Incarnation,
                     accusation_level::Suspect};
  return Claim;
}

gossip_message anyMessage() {
  gossip_message Message;
  Message.Kind = *rc::gen::element(
      message_kind::Probe, message_kind::Nack, message_kind::Gossip,
      message_kind::SyncDigest, message_kind::SyncBuckets,
      message_kind::SyncEntries, message_kind::SyncClaims, message_kind::Query,
      message_kind::Answer);
  Message.Sender = *rc::gen::arbitrary<std::uint64_t>();
  Message.Incarnation = *rc::gen::arbitrary<std::uint64_t>();
  Message.Sequence = *rc::gen::arbitrary<std::uint64_t>();
  Message.Bundle.Version = *rc::gen::arbitrary<std::uint64_t>();
  if (Message.Kind == message_kind::SyncBuckets)
    Message.BucketDigests.assign(member_table::Buckets, 7);
  if (Message.Kind == message_kind::SyncEntries)
    Message.Entries.assign(*rc::gen::inRange(0, 40), {1, 2});
  if (Message.Kind >= message_kind::Query) {
    Message.DataCentreName = "one";
    Message.Services.assign(*rc::gen::inRange(0, 10), {3, 4});
    Message.Contacts.assign(*rc::gen::inRange(0, 3), {"two", {"10.0.0.1", 9}});
  }
  for (int Count = *rc::gen::inRange(0, 5); Count > 0; --Count)
    Message.Claims.push_back(anyClaim());
  Message.Updates.assign(*rc::gen::inRange(0, 9),
                         {5, 6, member_state::Leaving, 7, 8});
  Message.RequestedKeys.assign(*rc::gen::inRange(0, 9), 10);
  return Message;
}

/// Appends a valid tag to any bytes, made with the key that all tests use.
std::vector<std::byte> sealRaw(std::vector<std::byte> Body) {
  const peer_tag Tag = virtual_network::keys().sign(Body);
  for (std::size_t Shift = 0; Shift < sizeof(Tag.KeyHint); ++Shift)
    Body.push_back(static_cast<std::byte>(Tag.KeyHint >> (8 * Shift)));
  Body.insert(Body.end(), Tag.Bytes.begin(), Tag.Bytes.end());
  return Body;
}

std::vector<std::byte> bodyOf(const gossip_message &Message) {
  datagram_codec Codec(virtual_network::keys());
  auto Bytes = Codec.seal(Message);
  Bytes.resize(Bytes.size() - PeerTagBytes - sizeof(std::uint32_t));
  return Bytes;
}

} // namespace

TEST_CASE("decoding a sealed message returns it, and sealedSize() predicts its "
          "size") {
  CHECK(rc::check("round trip", [] {
    datagram_codec Codec(virtual_network::keys());
    const gossip_message Message = anyMessage();
    const auto Bytes = Codec.seal(Message);
    RC_ASSERT(Bytes.size() == datagram_codec::sealedSize(Message));
    const auto Opened = Codec.open(Bytes);
    RC_ASSERT(Opened.has_value());
    RC_ASSERT(Opened.value() == Message);
    gossip_message Longer = Message;
    Longer.Claims.push_back(anyClaim());
    RC_ASSERT(datagram_codec::sealedSize(Longer) - Bytes.size() ==
              datagram_codec::sizeOf(Longer.Claims.back()));
  }));
}

TEST_CASE("forged, truncated, changed and too long datagrams are refused with "
          "a fault") {
  using enum datagram_fault;
  datagram_codec Codec(virtual_network::keys());
  peer_key Other{"test", {}};
  datagram_codec Forger(peer_key_ring::make({Other}).value());
  const std::vector<std::byte> Good = Codec.seal({});
  CHECK(Codec.open(Forger.seal({})).error() == BadTag);
  CHECK(Codec.open(std::span(Good).first(10)).error() == TooShort);
  CHECK(Codec.open(std::span(Good).first(Good.size() - 1)).error() == BadTag);
  CHECK(Codec.open(std::vector<std::byte>(MaxDatagramBytes + 1)).error() ==
        TooLong);
  for (std::size_t Index = 0; Index < Good.size(); ++Index) {
    std::vector<std::byte> Changed = Good;
    Changed[Index] ^= std::byte{1};
    CHECK(Codec.open(Changed).error() == BadTag);
  }
}

TEST_CASE("a changed body with a valid tag is refused if malformed") {
  CHECK(rc::check("changed and truncated bodies", [] {
    datagram_codec Codec(virtual_network::keys());
    std::vector<std::byte> Bytes = bodyOf(anyMessage());
    Bytes.resize(*rc::gen::inRange<std::size_t>(1, Bytes.size() + 1));
    for (int Count = *rc::gen::inRange(0, 4); Count > 0; --Count)
      Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
          static_cast<std::byte>(*rc::gen::inRange(0, 256));
    Bytes = sealRaw(Bytes);
    virtual_network Network({}, 1);
    Network.start(0, {});
    Network.member(0).receive({"10.0.0.9", 1}, Bytes, Network.Now);
    Network.run(5s);
    const auto &Counters = Network.member(0).counters();
    const auto Opened = Codec.open(Bytes);
    RC_ASSERT(Opened.has_value() !=
              (Counters.Refused[3] + Counters.Refused[4] > 0));
  }));
}

TEST_CASE("trailing bytes and texts above their maximum length are malformed") {
  datagram_codec Codec(virtual_network::keys());
  gossip_message Query;
  Query.Kind = message_kind::Query;
  Query.DataCentreName = std::string(MaxDataCentreNameBytes, 'x');
  std::vector<std::byte> Body = bodyOf(Query);
  REQUIRE(Codec.open(sealRaw(Body)).has_value());
  std::vector<std::byte> Longer = Body;
  Longer.push_back(std::byte{0});
  CHECK(Codec.open(sealRaw(Longer)).error() == datagram_fault::Malformed);
  const auto Length =
      std::find(Body.begin(), Body.end(), std::byte{MaxDataCentreNameBytes});
  REQUIRE(Length != Body.end());
  *Length = std::byte{MaxDataCentreNameBytes + 1};
  Body.insert(Length + 1, std::byte{'x'});
  CHECK(Codec.open(sealRaw(Body)).error() == datagram_fault::Malformed);
}

TEST_CASE("a member table ignores members beyond its maximum number") {
  member_table Table(virtual_network::recordOf(0, "one", ""), 3);
  for (std::size_t Index = 1; Index < 10; ++Index) {
    member_claim Claim;
    Claim.Record = virtual_network::recordOf(Index, "one", "");
    Table.merge(Claim, instant{});
  }
  CHECK(Table.entries().size() == 3);
}

TEST_CASE("claims give the same table in any order and when repeated") {
  CHECK(rc::check("merge is commutative, associative and idempotent", [] {
    std::vector<member_claim> Claims;
    for (int Count = *rc::gen::inRange(1, 12); Count > 0; --Count) {
      member_claim Claim;
      Claim.Record = virtual_network::recordOf(
          *rc::gen::inRange<std::size_t>(1, 3), "one", "catalogue");
      Claim.Record.Identity.Incarnation =
          *rc::gen::inRange<std::uint64_t>(1, 4);
      Claim.Revision = *rc::gen::inRange<std::uint32_t>(0, 3);
      // Each stamp belongs to exactly one state.
      Claim.Record.State =
          (Claim.Record.Identity.Incarnation + Claim.Revision) % 2 == 0
              ? member_state::Alive
              : member_state::Leaving;
      Claim.Accused = {*rc::gen::inRange<std::uint64_t>(1, 4),
                       *rc::gen::element(accusation_level::None,
                                         accusation_level::Suspect,
                                         accusation_level::Dead)};
      Claims.push_back(Claim);
    }
    member_table Forwards(virtual_network::recordOf(0, "one", ""), 9);
    member_table Backwards(virtual_network::recordOf(0, "one", ""), 9);
    for (const member_claim &Claim : Claims)
      Forwards.merge(Claim, instant{});
    for (int Round = 0; Round < 2; ++Round)
      for (auto Claim = Claims.rbegin(); Claim != Claims.rend(); ++Claim)
        Backwards.merge(*Claim, instant{});
    RC_ASSERT(Forwards.digest() == Backwards.digest());
    for (const auto &[Key, Entry] : Forwards.entries())
      RC_ASSERT(Entry.Claim.state() == Backwards.find(Key)->Claim.state());
  }));
}
