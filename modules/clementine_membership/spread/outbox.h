#ifndef CLEMENTINE_MEMBERSHIP_SPREAD_OUTBOX_H
#define CLEMENTINE_MEMBERSHIP_SPREAD_OUTBOX_H

#include "clementine_membership/messages/datagram_codec.h"
#include "clementine_membership/node/membership_settings.h"
#include "clementine_membership/spread/byte_budget.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace clementine {

/// A datagram to be sent.
struct outgoing_datagram {
  endpoint To;
  std::vector<std::byte> Bytes;

  bool operator==(const outgoing_datagram &) const = default;
};

/// How urgent a message is. When bytes run short the last ones wait first.
enum class urgency : std::uint8_t {
  /// Probes and their answers: without them members look dead.
  Probe,
  /// The first answer to a node that has just started.
  Join,
  /// News of a member that leaves.
  Leave,
  /// Anti-entropy, which carries nothing twice.
  Sync,
  /// Queries from and to other data centres.
  Query,
  /// Other news.
  News,
};

/// Stamps, seals and collects what is to be sent, within the byte budget.
class outbox {
public:
  /// What the header of each message says of the sender.
  struct sender_header {
    member_key Key = 0;
    std::uint64_t Incarnation = 0;
    std::uint32_t DataCentre = 0;
    std::uint8_t AdmissionLevel = 0;
    bundle_mark Bundle;

    bool operator==(const sender_header &) const = default;
  };

  outbox(const membership_settings &Settings, datagram_codec &Codec,
         sender_header Header)
      : Header(Header), Codec(Codec),
        Budget(Settings.BytesPerSecond, Settings.BurstBytes) {}

  outbox(const outbox &) = delete;
  outbox &operator=(const outbox &) = delete;

  /// Seals @p Message for @p To unless the budget forbids.
  /// @returns whether it will be sent.
  bool send(const endpoint &To, gossip_message Message, urgency Urgency,
            instant Now);

  /// @returns whether a whole datagram of @p Urgency could be sent now.
  bool hasRoomFor(urgency Urgency, instant Now);

  /// @returns what was collected since the last call.
  std::vector<outgoing_datagram> take();

  /// @returns the bytes sent since the start, headers included.
  std::uint64_t bytesSent() const { return BytesSent; }

  sender_header Header;

private:
  datagram_codec &Codec;
  byte_budget Budget;
  std::vector<outgoing_datagram> Waiting;
  std::uint64_t Sequence = 0;
  std::uint64_t BytesSent = 0;
};

} // namespace clementine

#endif
