/// Corrupts the bytes of a connection between nodes in transit, and checks that
/// the receiver accepts only messages that were sent, in order, and all of them
/// if nothing was changed.
///
/// The input is a list of edits of three bytes each: an offset (two bytes, high
/// byte first) and the byte that replaces the one there, or 0 to truncate the
/// stream at the offset.
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

std::string drainOutput(peer_session &Session) {
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
    const std::size_t Offset = (std::size_t{High} << 8U) | Low;
    if (Offset >= Stream.size())
      continue;
    if (Edits[At + 2] == 0)
      Stream.resize(Offset);
    else
      Stream[Offset] = Edits[At + 2];
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
  // The dialler sends first; see peer_session.
  require(Receiver.receive(drainOutput(Sender), Now).has_value());
  require(Sender.receive(drainOutput(Receiver), Now).has_value());
  const auto Sent = sentMessages();
  for (const peer_message &Message : Sent)
    require(Sender.send(Message));
  const std::string Original = drainOutput(Sender);
  std::string Stream = Original;
  applyEdits(Stream, Edits);

  std::vector<peer_message> Received;
  bool IsClosed = false;
  for (std::size_t At = 0; At < Stream.size() && !IsClosed; At += ChunkBytes) {
    const auto Result =
        Receiver.receive(std::string_view(Stream).substr(At, ChunkBytes), Now);
    IsClosed = Result.has_error();
    if (!IsClosed)
      Received.insert(Received.end(), Result.value().begin(),
                      Result.value().end());
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
