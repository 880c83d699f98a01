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

/// The priority of a message, highest first. When the byte budget runs short,
/// messages of lower priority are refused first.
enum class message_priority : std::uint8_t {
  /// Probes and their answers: without them members are falsely declared dead.
  Probe,
  /// A sample of members for a node that has just started.
  Join,
  /// Announcements of leaving members.
  Leave,
  /// Anti-entropy, which transfers only differences.
  Sync,
  /// Queries from and to other data centres.
  Query,
  /// Other updates.
  Dissemination,
};

/// Adds the header to outgoing messages, seals them and queues them within the
/// byte budget.
class outbox {
public:
  /// The sender's fields in the header of each message.
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

  /// Seals @p Message for @p To and queues it if the byte budget allows.
  /// @returns whether it will be sent.
  bool send(const endpoint &To, gossip_message Message,
            message_priority Priority, instant Now);

  /// @returns whether a datagram of the maximum size and @p Priority could be
  /// sent now.
  bool hasRoomFor(message_priority Priority, instant Now);

  /// @returns the datagrams queued since the last call.
  std::vector<outgoing_datagram> take();

  /// @returns the bytes sent since the start, including IP and UDP headers.
  std::uint64_t bytesSent() const { return BytesSent; }

  sender_header Header;

private:
  datagram_codec &Codec;
  byte_budget Budget;
  std::vector<outgoing_datagram> Pending;
  std::uint64_t Sequence = 0;
  std::uint64_t BytesSent = 0;
};

} // namespace clementine

#endif
