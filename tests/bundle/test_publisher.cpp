#include <doctest/doctest.h>

#include "faulty_store.h"
#include "sample_bundles.h"

#include <rapidcheck.h>

using namespace clementine;
using namespace clementine::samples;

namespace {

using fault = publish_error::fault;

const owner_key Owner = keyOf("night-desk", '1');
const owner_key SecondOwner = keyOf("day-desk", '2');

trusted_owners bothOwners() {
  trusted_owners Owners = trustOnly(Owner);
  Owners.add(SecondOwner.Owner, SecondOwner.Key.publicKey());
  return Owners;
}

signed_bundle signedBy(const owner_key &Key, std::uint64_t Version,
                       unsigned Rate, std::uint8_t Salt = 0) {
  const bundle Content = sampleBundle(5, Rate);
  bundle_head Head = headOf(Content, Version, Key);
  Head.WriteId.Bytes[1] = static_cast<std::uint8_t>(Rate);
  Head.WriteId.Bytes[2] = Salt;
  Head.sign(Key.Key);
  return {Head, Content};
}

auto publish(platform_store &Store, const signed_bundle &Signed,
             unsigned Attempts = 5) {
  return bundle_publisher(Store, bothOwners(), {Attempts, {}}).publish(Signed);
}

/// @returns a store whose newest version is 2.
void fill(faulty_store &Store) {
  static const signed_bundle First = signedBy(Owner, 1, 101);
  static const signed_bundle Second = signedBy(Owner, 2, 102);
  REQUIRE(publish(Store, First).has_value());
  REQUIRE(publish(Store, Second).has_value());
}

bool isAccepted(faulty_store &Store, const signed_bundle &Signed) {
  Store.Faults.clear();
  const auto Head = bundle_reader(Store).headOf(Signed.Head.Version).value();
  return Head && Head->WriteId == Signed.Head.WriteId;
}

bool isDefinitelyNotAccepted(fault Fault) {
  return Fault != fault::OutcomeUnknown;
}

} // namespace

TEST_CASE("the newest and earlier accepted versions can be read") {
  faulty_store Store;
  bundle_reader Reader(Store);
  CHECK_FALSE(Reader.newest(bothOwners()).value().has_value());
  fill(Store);
  const auto Third = signedBy(SecondOwner, 3, 101);
  CHECK(publish(Store, Third).value() ==
        published_bundle{Third.Head, false, 3});
  CHECK(Reader.newest(bothOwners()).value() == Third);
  CHECK(Reader.newest(trustOnly(Owner)).error().Fault ==
        bundle_read_error::fault::NotTrusted);
  const accepted_record Record = Reader.record().value()->Record;
  CHECK(Reader.content(Record, 2).value() == signedBy(Owner, 2, 102));
  CHECK(Reader.content(Record, 4).error().Fault ==
        bundle_read_error::fault::NoSuchVersion);
  CHECK(Reader.history().value().size() == 3);

  bundle_replica Replica(bothOwners());
  REQUIRE(
      Replica.applyUpdate(*Reader.updateAfter(NoVersion).value()).has_value());
  CHECK(*Replica.held() == Third);
  CHECK_FALSE(Reader.updateAfter(3).value().has_value());
  const auto Step = *Reader.updateAfter(2).value();
  CHECK(Step.FromVersion == 2);
  CHECK(encodeUpdate(Step).size() < 400);
}

TEST_CASE("publishing a signed bundle is idempotent") {
  faulty_store Store;
  fill(Store);
  const auto Second = signedBy(Owner, 2, 102);
  CHECK(publish(Store, Second).value() ==
        published_bundle{Second.Head, true, 2});
  REQUIRE(publish(Store, signedBy(SecondOwner, 3, 103)).has_value());
  CHECK(publish(Store, Second).value() ==
        published_bundle{Second.Head, true, 3});
}

TEST_CASE("bundles that nodes would refuse are not published") {
  faulty_store Store;
  fill(Store);
  const auto FaultOf = [&](const signed_bundle &Signed) {
    return publish(Store, Signed).error().Fault;
  };
  CHECK(FaultOf(signedBy(Owner, 4, 103)) == fault::VersionNotNext);
  CHECK(FaultOf(signedBy(keyOf("nobody", '1'), 3, 103)) == fault::UnknownOwner);
  CHECK(FaultOf(signedBy(keyOf("night-desk", '3'), 3, 103)) ==
        fault::BadSignature);
  auto Swapped = signedBy(Owner, 3, 103);
  Swapped.Content = sampleBundle(5, 999);
  CHECK(FaultOf(Swapped) == fault::DigestMismatch);
}

TEST_CASE(
    "of two concurrent publishers one succeeds, the other gets its head") {
  faulty_store Store;
  fill(Store);
  const auto Winner = signedBy(SecondOwner, 3, 103);
  Store.BeforeCommit = [&] { REQUIRE(publish(Store, Winner).has_value()); };
  const auto Lost = publish(Store, signedBy(Owner, 3, 104)).error();
  CHECK(Lost.Fault == fault::Conflict);
  CHECK(Lost.Winner == Winner.Head);
  CHECK(bundle_reader(Store).newest(bothOwners()).value() == Winner);
}

TEST_CASE("a write whose answer was lost is recognised by its write id") {
  faulty_store Store;
  fill(Store);
  const auto Third = signedBy(Owner, 3, 103);
  // The publisher reads the head and the content, then writes.
  Store.Faults = {store_fault::None, store_fault::None,
                  store_fault::LostAfterEffect};
  CHECK(publish(Store, Third).value() == published_bundle{Third.Head, true, 3});
}

TEST_CASE("a read that is several versions stale is confirmed before use") {
  faulty_store Store;
  Store.StaleWrites = 2;
  fill(Store);
  const auto Third = signedBy(Owner, 3, 103);
  REQUIRE(publish(Store, Third).has_value());
  Store.Faults = {store_fault::StaleRead};
  CHECK(publish(Store, Third).value() == published_bundle{Third.Head, true, 3});
}

TEST_CASE(
    "fault matrix: every fault and every pair at every step of publishing") {
  constexpr std::size_t Steps = 6;
  const auto Third = signedBy(Owner, 3, 103);
  const auto Other = signedBy(SecondOwner, 3, 104);
  unsigned Cases = 0;
  for (std::size_t First = 0; First < StoreFaults * Steps; ++First)
    for (std::size_t Second = 0; Second < StoreFaults * Steps; ++Second)
      for (const unsigned Kind : {0U, 1U, 2U, 3U}) {
        const bool Race = Kind % 2 == 1;
        const unsigned Attempts = Kind / 2 == 0 ? 1 : 5;
        faulty_store Store;
        fill(Store);
        Store.Faults.assign(2 * Steps, store_fault::None);
        Store.Faults[First % Steps] = static_cast<store_fault>(First / Steps);
        Store.Faults[Second % Steps + Steps / 2] =
            static_cast<store_fault>(Second / Steps);
        if (Race)
          Store.BeforeCommit = [&] { (void)publish(Store, Other); };
        const auto Outcome = publish(Store, Third, Attempts);
        const bool Accepted = isAccepted(Store, Third);
        if (Outcome)
          REQUIRE(Accepted);
        else if (isDefinitelyNotAccepted(Outcome.error().Fault))
          REQUIRE_FALSE(Accepted);
        // The same call without faults reports the actual outcome.
        const auto Again = publish(Store, Third);
        REQUIRE(Again.has_value() == isAccepted(Store, Third));
        if (!Again)
          REQUIRE(Again.error().Winner == Other.Head);
        ++Cases;
      }
  MESSAGE("cases run: ", Cases);
}

TEST_CASE("under random faults, accepted versions are unique and consecutive") {
  CHECK(rc::check("publishing of bundles under random faults", [] {
    faulty_store Store;
    std::vector<bundle_head> AcceptedHeads;
    Store.StaleWrites = *rc::gen::inRange<std::size_t>(1, 4);
    const auto Operators = *rc::gen::inRange(4, 12);
    for (int OperatorIndex = 0; OperatorIndex < Operators; ++OperatorIndex) {
      const owner_key &Key = *rc::gen::arbitrary<bool>() ? Owner : SecondOwner;
      const auto Version = *rc::gen::inRange<std::uint64_t>(1, 6);
      const auto Signed = signedBy(Key, Version, 100 + *rc::gen::inRange(0, 3),
                                   static_cast<std::uint8_t>(OperatorIndex));
      const auto Faults = *rc::gen::container<std::vector<unsigned>>(
          rc::gen::inRange(0U, StoreFaults));
      for (const unsigned Fault : Faults)
        Store.Faults.push_back(static_cast<store_fault>(Fault));
      const auto Outcome = publish(Store, Signed);
      const bool Accepted = isAccepted(Store, Signed);
      if (Outcome)
        RC_ASSERT(Accepted);
      else if (isDefinitelyNotAccepted(Outcome.error().Fault))
        RC_ASSERT(!Accepted);
      if (Accepted)
        AcceptedHeads.push_back(Signed.Head);
    }
    const auto History = bundle_reader(Store).history().value();
    RC_ASSERT(History == AcceptedHeads);
    for (std::size_t Index = 0; Index < History.size(); ++Index)
      RC_ASSERT(History[Index].Version == Index + 1);
    if (History.empty())
      return;
    const auto Newest = bundle_reader(Store).newest(bothOwners()).value();
    RC_ASSERT(Newest->Head == History.back());
  }));
}

TEST_CASE(
    "epochs are rotated and deleted, each version is readable when published") {
  faulty_store Store;
  bundle_reader Reader(Store);
  bundle_replica Follower(bothOwners());
  const std::uint64_t Versions = (MaxKeptEpochs + 2) * MaxEpochVersions + 3;
  for (std::uint64_t Version = 1; Version <= Versions; ++Version) {
    const auto Signed =
        signedBy(Owner, Version, 100 + static_cast<unsigned>(Version));
    REQUIRE(publish(Store, Signed).has_value());
    const auto Update = Reader.updateAfter(Version - 1).value();
    REQUIRE(Update->Head == Signed.Head);
    REQUIRE(Follower.applyUpdate(*Update).has_value());
  }
  const accepted_record Record = Reader.record().value()->Record;
  CHECK(Record.Epochs.size() == MaxKeptEpochs);
  const auto Keys =
      Store.list(std::string(bundle_layout::BundlePrefix) + "epochs/")
          .value()
          .Entries.size();
  MESSAGE("content keys kept: ", Keys, " after ", Versions, " versions");
  CHECK(Keys <= MaxKeptEpochs * (MaxEpochVersions + 1));
  CHECK(Reader.content(Record, Record.Epochs.front()).has_value());
  CHECK(Reader.content(Record, Record.Epochs.front() - 1).error().Fault ==
        bundle_read_error::fault::NoSuchVersion);
}

TEST_CASE(
    "a signed file round-trips, and each kind of damage has its own error") {
  const signed_file File{signedBy(Owner, 3, 103), Owner.Key.publicKey()};
  const std::string Text = File.text();
  const signed_file Read = signed_file::parse(Text).value();
  CHECK(Read.Bundle == File.Bundle);
  const auto FaultOf = [](const std::string &Damaged) {
    return signed_file::parse(Damaged).error().Fault;
  };
  const auto Replaced = [&](const std::string &From, const std::string &To) {
    std::string Other = Text;
    return Other.replace(Other.find(From), From.size(), To);
  };
  using file_fault = signed_file_error::fault;
  CHECK(FaultOf(Text.substr(0, Text.size() / 2)) == file_fault::NotJson);
  CHECK(FaultOf(Replaced("\"owner\"", "\"owned\"")) ==
        file_fault::MissingField);
  CHECK(FaultOf(Replaced("\"version\": 3", "\"version\": -3")) ==
        file_fault::BadField);
  CHECK(FaultOf(Replaced("\"version\": 3", "\"version\": 4")) ==
        file_fault::BadSignature);
  CHECK(FaultOf(Replaced("103/s", "104/s")) == file_fault::DigestMismatch);
  CHECK(FaultOf(Replaced("103/s", "103")) == file_fault::BadText);
  CHECK(FaultOf(std::string(4 * MaxBundleBytes, ' ')) == file_fault::TooLarge);
}
