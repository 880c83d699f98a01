#include <doctest/doctest.h>

#include "sample_bundles.h"

using namespace clementine;
using namespace clementine::samples;

namespace {

const owner_key Owner = keyOf("night-desk", '1');
const owner_key OtherKey = keyOf("night-desk", '2');

update_fault faultOf(bundle_replica &Replica, const bundle_update &Update) {
  auto Considered = Replica.applyUpdate(Update);
  REQUIRE_FALSE(Considered.has_value());
  return Considered.error().Fault;
}

bundle_update deltaUpdate(const bundle &From, const bundle &To,
                          std::uint64_t Version) {
  return {headOf(To, Version, Owner), Version - 1, deltaBetween(From, To)};
}

} // namespace

TEST_CASE("Ed25519 signs and verifies RFC 8032, section 7.1, test 2") {
  signing_key Key;
  REQUIRE(signing_key::parse(
      "4ccd089b28ff96da9db6c346ec114e0f5b8a319f35aba624da8cf6ed4fb8a6fb", Key));
  CHECK(Key.publicKey().text() ==
        "3d4017c3e843895a92b70aa74d1b7ebc9c982ccf2ec4968cc0cd55f12af4660c");
  const ed25519_signature Signature = Key.sign("\x72");
  CHECK(hexText(Signature.bytes()) ==
        "92a009a9f0d4cab8720e820b5f642540a2b27b5416503f8fb3762223ebdb69da"
        "085ac1e43e15996e458f3613d0f11d8c387b2eaeb4302aeeb00d291612bb0c00");
  CHECK(Key.publicKey().verifies("\x72", Signature));
  CHECK_FALSE(Key.publicKey().verifies("\x73", Signature));
}

TEST_CASE("key files and lists of trusted owners round-trip as text") {
  const owner_key Read = owner_key::parse(Owner.privateText()).value();
  CHECK(Read.Owner == Owner.Owner);
  CHECK(Read.Key.privateText() == Owner.Key.privateText());
  const auto Owners = trusted_owners::parse(Owner.publicText()).value();
  CHECK(Owners == trustOnly(Owner));
  CHECK(trusted_owners::parse(Owners.text()).value() == Owners);
  CHECK(trusted_owners::parse(Owner.privateText()).error().front().Fault ==
        bundle_fault::UnknownKey);
  CHECK(trusted_owners::parse(Owner.publicText() + Owner.publicText())
            .error()
            .front()
            .Fault == bundle_fault::DuplicateSection);
  const auto Errors =
      owner_key::parse("[owner a]\nprivate_key = 12secret").error();
  CHECK(Errors.front().text().find("secret") == std::string::npos);
}

TEST_CASE("a replica applies full updates and deltas of newer versions only") {
  bundle_replica Replica(trustOnly(Owner));
  CHECK(Replica.answer(NoVersion).error() == answer_fault::NoBundleHeld);
  const bundle First = sampleBundle(20, 100);
  const bundle Second = sampleBundle(20, 101);
  REQUIRE(Replica.applyUpdate(fullUpdate(First, 1, Owner)).has_value());
  REQUIRE(Replica.applyUpdate(deltaUpdate(First, Second, 2)).has_value());
  CHECK(Replica.held()->Content.text() == Second.text());
  CHECK(faultOf(Replica, fullUpdate(First, 1, Owner)) ==
        update_fault::NotNewer);
  CHECK(faultOf(Replica, fullUpdate(First, 2, Owner)) ==
        update_fault::SameVersionOtherContent);
  // A rollback is published as a later version with the old content.
  REQUIRE(Replica.applyUpdate(deltaUpdate(Second, First, 3)).has_value());
  CHECK(Replica.held()->Content == First);
  CHECK(Replica.summary() == bundle_summary{3, First.digest()});
}

TEST_CASE("a replica refuses each kind of invalid update with its own fault") {
  bundle_replica Replica(trustOnly(Owner));
  const bundle First = sampleBundle(20, 100);
  const bundle Second = sampleBundle(20, 101);
  REQUIRE(Replica.applyUpdate(fullUpdate(First, 1, Owner)).has_value());
  CHECK(faultOf(Replica, fullUpdate(Second, 2, OtherKey)) ==
        update_fault::BadSignature);
  CHECK(faultOf(Replica, fullUpdate(Second, 2, keyOf("nobody", '1'))) ==
        update_fault::UnknownOwner);
  CHECK(faultOf(Replica, deltaUpdate(First, Second, 3)) ==
        update_fault::WrongBase);
  bundle_update Renumbered = deltaUpdate(First, Second, 2);
  Renumbered.Head.Version = 3;
  CHECK(faultOf(Replica, Renumbered) == update_fault::BadSignature);
  bundle_update Swapped = deltaUpdate(First, Second, 2);
  Swapped.Delta = deltaBetween(First, sampleBundle(20, 500));
  CHECK(faultOf(Replica, Swapped) == update_fault::DigestMismatch);
  bundle_update Truncated = deltaUpdate(First, Second, 2);
  Truncated.Delta.Changed.resize(10);
  CHECK(faultOf(Replica, Truncated) == update_fault::BadContent);
  CHECK(Replica.summary().Version == 1);
}

TEST_CASE("answers are merged deltas while recorded, else full bundles") {
  bundle_replica Replica(trustOnly(Owner));
  bundle Held = sampleBundle(20, 100);
  REQUIRE(Replica.applyUpdate(fullUpdate(Held, 1, Owner)).has_value());
  for (std::uint64_t Version = 2; Version <= 5; ++Version) {
    const bundle Next = sampleBundle(20, 100 + Version);
    REQUIRE(Replica.applyUpdate(deltaUpdate(Held, Next, Version)).has_value());
    Held = Next;
  }
  const bundle_update Merged = Replica.answer(2).value();
  CHECK(Merged.FromVersion == 2);
  CHECK(affectedPartNames(Merged.Delta) ==
        std::vector<part_name>{{"caller caller-0"}});
  CHECK(Replica.answer(NoVersion).value().FromVersion == NoVersion);
  CHECK(Replica.answer(5).error() == answer_fault::PeerUpToDate);
  bundle_replica Peer(trustOnly(Owner));
  REQUIRE(Peer.applyUpdate(Replica.answer(NoVersion).value()).has_value());
  CHECK(*Peer.held() == *Replica.held());
  // A peer that went from version 2 to 5 in one update has no record of the
  // versions in between.
  bundle_replica SingleStepPeer(trustOnly(Owner));
  REQUIRE(
      SingleStepPeer.applyUpdate(fullUpdate(sampleBundle(20, 102), 2, Owner)));
  REQUIRE(SingleStepPeer.applyUpdate(Merged).has_value());
  CHECK(SingleStepPeer.answer(3).value().FromVersion == NoVersion);
}

TEST_CASE("the update for one changed caller of 10,000 is below 400 bytes") {
  bundle_replica Replica(trustOnly(Owner));
  const bundle First = sampleBundle(10'000, 100);
  const bundle Second = sampleBundle(10'000, 101);
  REQUIRE(Replica.applyUpdate(fullUpdate(First, 1, Owner)).has_value());
  REQUIRE(Replica.applyUpdate(deltaUpdate(First, Second, 2)).has_value());
  const std::string Bytes = encodeUpdate(Replica.answer(1).value());
  MESSAGE("bytes of the delta: ", Bytes.size(),
          "; of the full bundle: ", Second.text().size());
  CHECK(Bytes.size() < 400);
}

TEST_CASE("truncated, extended or malformed updates give typed decode errors") {
  const bundle First = sampleBundle(3, 100);
  const std::string Bytes = encodeUpdate(fullUpdate(First, 1, Owner));
  CHECK(decodeUpdate(Bytes).value() == fullUpdate(First, 1, Owner));
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    REQUIRE(decodeUpdate(std::string_view(Bytes).substr(0, Size)).error() ==
            bundle_decode_error::Malformed);
  CHECK(decodeUpdate(Bytes + "x").error() ==
        bundle_decode_error::TrailingBytes);
  CHECK(decodeUpdate(std::string(MaxUpdateBytes + 1, 'x')).error() ==
        bundle_decode_error::TooLarge);
  CHECK(decodeUpdate(std::string(1000, '\xff')).error() ==
        bundle_decode_error::Malformed);
}

TEST_CASE("trusted owners are replaced at run time") {
  bundle_replica Replica(trustOnly(Owner));
  const bundle First = sampleBundle(3, 100);
  REQUIRE(Replica.applyUpdate(fullUpdate(First, 1, Owner)).has_value());
  Replica.setTrustedOwners(trustOnly(OtherKey));
  CHECK(Replica.summary().Version == 1);
  CHECK(faultOf(Replica, fullUpdate(First, 2, Owner)) ==
        update_fault::BadSignature);
  CHECK(Replica.applyUpdate(fullUpdate(First, 2, OtherKey)).has_value());
}
