#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "clementine_transport/session/peer_session.h"

using namespace clementine;
using namespace std::chrono_literals;

namespace {

peer_key_ring ringOf(char Letter) {
  peer_key Key;
  Key.Id = std::string(1, Letter);
  Key.Bytes.fill(static_cast<std::byte>(Letter));
  return peer_key_ring::make({Key}).value();
}

/// Two sessions; the test transfers the bytes between them.
struct pair_of_sessions {
  explicit pair_of_sessions(char DiallerKey = 'k', char AcceptorKey = 'k')
      : Dialler(peer_session::side::Dialler, {"node-a", 1}, ringOf(DiallerKey),
                Random, {}, Start),
        Acceptor(peer_session::side::Acceptor, {"node-b", 2},
                 ringOf(AcceptorKey), Random, {}, Start) {}

  static std::string takeOutput(peer_session &Session) {
    std::string Bytes(Session.output());
    Session.consumeOutput(Bytes.size());
    return Bytes;
  }

  void completeHandshake() {
    REQUIRE(Acceptor.receive(takeOutput(Dialler), Start).has_value());
    REQUIRE(Dialler.receive(takeOutput(Acceptor), Start).has_value());
  }

  seeded_random Random{1};
  instant Start{};
  peer_session Dialler;
  peer_session Acceptor;
};

} // namespace

TEST_CASE("messages are queued until the hello and decoded in order from "
          "single bytes") {
  pair_of_sessions Pair;
  CHECK(Pair.Dialler.send(run_cancel{{1, 1}}));
  CHECK(Pair.Dialler.send(run_cancel{{2, 2}}));
  Pair.completeHandshake();
  CHECK(Pair.Acceptor.peer() == node_identity{"node-a", 1});
  CHECK(Pair.Dialler.peer() == node_identity{"node-b", 2});
  std::vector<peer_message> Arrived;
  for (const char Byte : pair_of_sessions::takeOutput(Pair.Dialler)) {
    auto Messages = Pair.Acceptor.receive({&Byte, 1}, Pair.Start).value();
    Arrived.insert(Arrived.end(), Messages.begin(), Messages.end());
  }
  CHECK(Arrived ==
        std::vector<peer_message>{run_cancel{{1, 1}}, run_cancel{{2, 2}}});
}

TEST_CASE("a peer with a different key is refused") {
  pair_of_sessions Pair('k', 'x');
  const auto Received = Pair.Acceptor.receive(
      pair_of_sessions::takeOutput(Pair.Dialler), Pair.Start);
  CHECK(Received.error() == session_error::BadTag);
}

TEST_CASE("replayed, reordered, corrupted and foreign frames are refused") {
  pair_of_sessions Pair;
  Pair.completeHandshake();
  Pair.Dialler.send(run_cancel{{1, 1}});
  const std::string First = pair_of_sessions::takeOutput(Pair.Dialler);
  Pair.Dialler.send(run_cancel{{2, 2}});
  const std::string Second = pair_of_sessions::takeOutput(Pair.Dialler);
  SUBCASE("replayed") {
    CHECK(Pair.Acceptor.receive(First, Pair.Start).has_value());
    CHECK(Pair.Acceptor.receive(First, Pair.Start).error() ==
          session_error::BadTag);
  }
  SUBCASE("reordered") {
    CHECK(Pair.Acceptor.receive(Second, Pair.Start).error() ==
          session_error::BadTag);
  }
  SUBCASE("corrupted") {
    std::string Corrupted = First;
    Corrupted.back() = static_cast<char>(Corrupted.back() ^ 1);
    CHECK(Pair.Acceptor.receive(Corrupted, Pair.Start).error() ==
          session_error::BadTag);
  }
  SUBCASE("from another connection") {
    pair_of_sessions Other;
    Other.Random = seeded_random(99);
    seeded_random OtherRandom(99);
    peer_session Dialler(peer_session::side::Dialler, {"node-a", 1},
                         ringOf('k'), OtherRandom, {}, Pair.Start);
    peer_session Acceptor(peer_session::side::Acceptor, {"node-b", 2},
                          ringOf('k'), OtherRandom, {}, Pair.Start);
    REQUIRE(Acceptor.receive(pair_of_sessions::takeOutput(Dialler), Pair.Start)
                .has_value());
    CHECK(Acceptor.receive(First, Pair.Start).error() == session_error::BadTag);
  }
}

TEST_CASE(
    "a frame length above the maximum is refused before the body is read") {
  pair_of_sessions Pair;
  const std::string Header(24, '\xff');
  CHECK(Pair.Acceptor.receive(Header, Pair.Start).error() ==
        session_error::FrameTooLarge);
}

TEST_CASE("heartbeats keep an idle connection open; without received data it "
          "times out") {
  pair_of_sessions Pair;
  Pair.completeHandshake();
  instant Now = Pair.Start;
  for (int Beat = 0; Beat < 20; ++Beat) {
    Now += 300ms;
    REQUIRE(Pair.Dialler.tick(Now).has_value());
    REQUIRE(Pair.Acceptor.tick(Now).has_value());
    REQUIRE(
        Pair.Acceptor.receive(pair_of_sessions::takeOutput(Pair.Dialler), Now)
            .has_value());
    REQUIRE(
        Pair.Dialler.receive(pair_of_sessions::takeOutput(Pair.Acceptor), Now)
            .has_value());
  }
  Now += 901ms;
  CHECK(Pair.Dialler.tick(Now).error() == session_error::TimedOut);
}

TEST_CASE("a session refuses messages beyond its limit of unwritten bytes") {
  pair_of_sessions Pair;
  run_answer Large;
  Large.Answer.Body.resize(MaxBodyBytes);
  int Accepted = 0;
  while (Accepted < 100 && Pair.Dialler.send(Large))
    ++Accepted;
  CHECK(Accepted == 7);
}
