#include "clementine_membership/spread/outbox.h"

#include <array>
#include <cassert>
#include <utility>

namespace clementine {

namespace {

/// The share of the burst that is left for what is more urgent.
constexpr std::array<double, 6> Reserves = {0.0, 0.1, 0.15, 0.3, 0.4, 0.5};

double reserveOf(urgency Urgency) {
  return Reserves.at(static_cast<std::size_t>(Urgency));
}

} // namespace

bool outbox::send(const endpoint &To, gossip_message Message, urgency Urgency,
                  instant Now) {
  Message.Sender = Header.Key;
  Message.Incarnation = Header.Incarnation;
  Message.Sequence = ++Sequence;
  Message.DataCentre = Header.DataCentre;
  Message.AdmissionLevel = Header.AdmissionLevel;
  Message.Bundle = Header.Bundle;
  std::vector<std::byte> Bytes = Codec.seal(Message);
  assert(Bytes.size() <= MostDatagramBytes && "messages are filled to the cap");
  const std::size_t Cost = Bytes.size() + DatagramOverheadBytes;
  if (!Budget.take(Cost, reserveOf(Urgency), Now))
    return false;
  BytesSent += Cost;
  Waiting.push_back({To, std::move(Bytes)});
  return true;
}

bool outbox::hasRoomFor(urgency Urgency, instant Now) {
  return Budget.has(MostDatagramBytes + DatagramOverheadBytes,
                    reserveOf(Urgency), Now);
}

std::vector<outgoing_datagram> outbox::take() {
  return std::exchange(Waiting, {});
}

} // namespace clementine
