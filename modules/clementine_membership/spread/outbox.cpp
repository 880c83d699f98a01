#include "clementine_membership/spread/outbox.h"

#include <array>
#include <cassert>
#include <utility>

namespace clementine {

namespace {

/// For each priority, the fraction of the burst that is reserved for messages
/// of higher priority.
constexpr std::array<double, 6> Reserves = {0.0, 0.1, 0.15, 0.3, 0.4, 0.5};

double reserveOf(message_priority Priority) {
  return Reserves.at(static_cast<std::size_t>(Priority));
}

} // namespace

bool outbox::send(const endpoint &To, gossip_message Message,
                  message_priority Priority, instant Now) {
  Message.Sender = Header.Key;
  Message.Incarnation = Header.Incarnation;
  Message.Sequence = ++Sequence;
  Message.DataCentre = Header.DataCentre;
  Message.AdmissionLevel = Header.AdmissionLevel;
  Message.Bundle = Header.Bundle;
  std::vector<std::byte> Bytes = Codec.seal(Message);
  assert(Bytes.size() <= MaxDatagramBytes &&
         "messages must not exceed the maximum size");
  const std::size_t Cost = Bytes.size() + DatagramOverheadBytes;
  if (!Budget.take(Cost, reserveOf(Priority), Now))
    return false;
  BytesSent += Cost;
  Pending.push_back({To, std::move(Bytes)});
  return true;
}

bool outbox::hasRoomFor(message_priority Priority, instant Now) {
  return Budget.has(MaxDatagramBytes + DatagramOverheadBytes,
                    reserveOf(Priority), Now);
}

std::vector<outgoing_datagram> outbox::take() {
  return std::exchange(Pending, {});
}

} // namespace clementine
