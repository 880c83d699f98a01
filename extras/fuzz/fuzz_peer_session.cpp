/// A connection between nodes whose bytes are changed on the way: the receiver
/// closes it, and never takes in anything but what was sent, in order.
///
/// The input is a list of edits of three bytes each: a place (two bytes) and a
/// byte that is put over the one there, or 0 to cut the stream.
#include "fuzz_input.h"

#include "clementine_transport/session/peer_session.h"

#include <array>
#include <string>
#include <vector>

namespace clementine {
namespace {

constexpr std::size_t EditBytes = 3;
constexpr std::size_t ChunkBytes = 97;

peer_key_ring fuzzRing() {
  peer_key Key;
  Key.Id = "fuzz";
  return peer_key_ring::make({Key}).value();
}

std::string takeOutput(peer_session &Session) {
  std::string Bytes(Session.output());
  Session.consumeOutput(Bytes.size());
  return Bytes;
}

std::vector<peer_message> sentMessages() {
  run_answer Answer;
  Answer.Run = {1, 2};
  Answer.Outcome = run_outcome::Completed;
  Answer.Answer.Body = std::string(300, 'a');
  return {Answer, run_cancel{{3, 4}}, run_not_found{{5, 6}}};
}

void applyEdits(std::string &Stream, std::string_view Edits) {
  for (std::size_t At = 0; At + EditBytes <= Edits.size(); At += EditBytes) {
    const auto High = static_cast<std::uint8_t>(Edits[At]);
    const auto Low = static_cast<std::uint8_t>(Edits[At + 1]);
    const std::size_t Place = (std::size_t{High} << 8U) | Low;
    if (Place >= Stream.size())
      continue;
    if (Edits[At + 2] == 0)
      Stream.resize(Place);
    else
      Stream[Place] = Edits[At + 2];
  }
}

void requirePrefix(const std::vector<peer_message> &Received,
                   const std::vector<peer_message> &Sent) {
  require(Received.size() <= Sent.size());
  for (std::size_t Index = 0; Index < Received.size(); ++Index)
    require(encodeMessage(Received[Index]).value() ==
            encodeMessage(Sent[Index]).value());
}

void run(std::string_view Edits) {
  static const peer_key_ring Ring = fuzzRing();
  using side = peer_session::side;
  seeded_random Random(1);
  const instant Now{};
  peer_session Sender(side::Dialler, {"a", 1}, Ring, Random, {}, Now);
  peer_session Receiver(side::Acceptor, {"b", 1}, Ring, Random, {}, Now);
  // The dialler speaks first; see peer_session.
  require(Receiver.receive(takeOutput(Sender), Now).has_value());
  require(Sender.receive(takeOutput(Receiver), Now).has_value());
  const auto Sent = sentMessages();
  for (const peer_message &Message : Sent)
    require(Sender.send(Message));
  const std::string Original = takeOutput(Sender);
  std::string Stream = Original;
  applyEdits(Stream, Edits);

  std::vector<peer_message> Received;
  bool IsClosed = false;
  for (std::size_t At = 0; At < Stream.size() && !IsClosed; At += ChunkBytes) {
    const auto Taken =
        Receiver.receive(std::string_view(Stream).substr(At, ChunkBytes), Now);
    IsClosed = Taken.has_error();
    if (!IsClosed)
      Received.insert(Received.end(), Taken.value().begin(),
                      Taken.value().end());
  }
  requirePrefix(Received, Sent);
  if (Stream == Original)
    require(!IsClosed && Received.size() == Sent.size());
}

} // namespace
} // namespace clementine

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  clementine::run(clementine::textOf(Data, Size));
  return 0;
}
