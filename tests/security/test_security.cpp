#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "clementine_security/clementine_security.h"

#include <set>

using namespace clementine;

namespace {

const std::string OldKey = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=";
const std::string NewKey = "/////////////////////////////////////////+8=";

peer_key_ring ringOf(const std::string &Text) {
  auto Parsed = peer_key_ring::parse(Text);
  REQUIRE(Parsed.has_value());
  return std::move(Parsed).value();
}

std::vector<std::byte> bytesOf(std::string_view Text) {
  const auto *First = reinterpret_cast<const std::byte *>(Text.data());
  return {First, First + Text.size()};
}

key_ring_failure failureOf(const std::string &Text) {
  const auto Parsed = peer_key_ring::parse(Text);
  REQUIRE(Parsed.has_error());
  return Parsed.error();
}

} // namespace

TEST_CASE(
    "a tag is HMAC-SHA256 truncated to 128 bits and a context can be reused") {
  // The expected bytes come from Python's hmac module.
  constexpr std::array<unsigned char, PeerTagBytes> Expected = {
      0x19, 0x8a, 0x60, 0x7e, 0xb4, 0x4b, 0xfb, 0xc6,
      0x99, 0x03, 0xa0, 0xf1, 0xcf, 0x2b, 0xbd, 0xc5};
  peer_key Key{"k", {}};
  Key.Bytes.fill(std::byte{0x0b});
  auto Ring = peer_key_ring::make({Key}).value();
  const auto Message = bytesOf("Hi There");
  const peer_tag First = Ring.sign(Message);
  CHECK(First == Ring.sign(Message));
  for (std::size_t Index = 0; Index < PeerTagBytes; ++Index)
    CHECK(First.Bytes[Index] == std::byte{Expected[Index]});
}

TEST_CASE("every key of the ring verifies and only the first signs") {
  auto Before = ringOf("old:" + OldKey);
  auto Between = ringOf("old:" + OldKey + ", new:" + NewKey);
  auto After = ringOf("new:" + NewKey + ",old:" + OldKey);
  auto Done = ringOf("new:" + NewKey);
  const auto Message = bytesOf("membership");
  CHECK(Between.verify(Message, Before.sign(Message)));
  CHECK(Before.verify(Message, Between.sign(Message)));
  CHECK(Between.verify(Message, After.sign(Message)));
  CHECK(Done.verify(Message, After.sign(Message)));
  CHECK_FALSE(Done.verify(Message, Before.sign(Message)));
  peer_key_ring Copy = After;
  CHECK(Copy.sign(Message) == After.sign(Message));
}

TEST_CASE("a changed message, tag or key hint is refused") {
  auto Ring = ringOf("old:" + OldKey);
  auto Message = bytesOf("membership");
  peer_tag Tag = Ring.sign(Message);
  Message[3] ^= std::byte{1};
  CHECK_FALSE(Ring.verify(Message, Tag));
  Message[3] ^= std::byte{1};
  CHECK(Ring.verify(Message, Tag));
  Tag.Bytes[PeerTagBytes - 1] ^= std::byte{1};
  CHECK_FALSE(Ring.verify(Message, Tag));
  Tag.Bytes[PeerTagBytes - 1] ^= std::byte{1};
  Tag.KeyHint ^= 1U;
  CHECK_FALSE(Ring.verify(Message, Tag));
}

TEST_CASE(
    "the error for an invalid key ring setting identifies the invalid entry") {
  using enum key_ring_fault;
  const std::string Good = "a:" + OldKey;
  CHECK(failureOf(" ") == key_ring_failure{Empty, 0});
  CHECK(failureOf(Good + ",b") == key_ring_failure{MissingColon, 1});
  CHECK(failureOf(Good + ",") == key_ring_failure{MissingColon, 1});
  CHECK(failureOf(":" + OldKey) == key_ring_failure{BadId, 0});
  CHECK(failureOf("a b:" + OldKey) == key_ring_failure{BadId, 0});
  CHECK(failureOf(Good + "," + Good) == key_ring_failure{DuplicateId, 1});
  CHECK(failureOf("a:AAAA") == key_ring_failure{BadKey, 0});
  CHECK(failureOf("a:" + std::string(44, 'A')) == key_ring_failure{BadKey, 0});
  std::string Many = "k0:" + OldKey;
  for (int Index = 1; Index < 9; ++Index)
    Many += ",k" + std::to_string(Index) + ":" + OldKey;
  CHECK(failureOf(Many) == key_ring_failure{TooManyKeys, 8});
  CHECK_FALSE(failureOf(Many).text().empty());
}

TEST_CASE("the replay window agrees with a set of all sequence numbers seen") {
  replay_window Window(4);
  std::set<std::uint64_t> Seen;
  std::uint64_t Highest = 0;
  std::uint64_t State = 7;
  for (int Step = 0; Step < 20000; ++Step) {
    State = State * 6364136223846793005ULL + 1442695040888963407ULL;
    const std::uint64_t Sequence = 100 + Step / 3 + (State >> 33U) % 150;
    const bool TooOld = Highest >= replay_window::WindowWidth + Sequence;
    const bool Fresh = !TooOld && Seen.insert(Sequence).second;
    const replay_verdict Verdict = Window.accept(1, 5, Sequence);
    REQUIRE((Verdict == replay_verdict::Fresh) == Fresh);
    Highest = std::max(Highest, Sequence);
  }
  CHECK(Window.accept(1, 4, Highest + 1) == replay_verdict::OldEpoch);
  CHECK(Window.accept(1, 6, 1) == replay_verdict::Fresh);
  CHECK(Window.accept(1, 6, 1) == replay_verdict::Replayed);
  CHECK(Window.epochOf(1) == 6);
  CHECK_FALSE(Window.epochOf(2).has_value());
}

TEST_CASE("a full replay window evicts the least recently active sender") {
  replay_window Window(2);
  CHECK(Window.accept(1, 0, 9) == replay_verdict::Fresh);
  CHECK(Window.accept(2, 0, 9) == replay_verdict::Fresh);
  CHECK(Window.accept(1, 0, 10) == replay_verdict::Fresh);
  CHECK(Window.accept(3, 0, 9) == replay_verdict::Fresh);
  CHECK(Window.size() == 2);
  CHECK(Window.accept(1, 0, 9) == replay_verdict::Replayed);
  CHECK(Window.accept(2, 0, 9) == replay_verdict::Fresh);
}
