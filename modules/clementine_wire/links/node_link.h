#ifndef CLEMENTINE_WIRE_LINKS_NODE_LINK_H
#define CLEMENTINE_WIRE_LINKS_NODE_LINK_H

#include "clementine_core/clementine_core.h"
#include "clementine_wire/messages/messages.h"

#include <cstdint>

namespace clementine {

/// Identifies a connection between two nodes for its lifetime.
///
/// The code that opens a link chooses its identifier, below FirstAcceptedLink;
/// the transport numbers accepted links from FirstAcceptedLink upwards.
using link_id = std::uint64_t;

/// The link from a node to itself.
constexpr link_id LocalLink = 0;

/// The first identifier of an accepted link.
constexpr link_id FirstAcceptedLink = 1ULL << 63U;

/// Represents no link.
constexpr link_id NoLink = ~link_id{0};

/// The link and run to which the answer to an attempt is sent.
struct run_address {
  link_id Link = LocalLink;
  request_id Run;

  bool operator==(const run_address &) const = default;
};

/// Opens links to other nodes and sends on them. The part of the transport's
/// interface that decision code uses.
class peer_port {
public:
  virtual ~peer_port() = default;

  /// Opens a link; the outcome, up or down, is reported as an event.
  virtual void openLink(link_id Link, const endpoint &Remote) = 0;

  /// Sends on a link; has no effect if the link no longer exists.
  virtual void sendOn(link_id Link, peer_message Message) = 0;

  /// Closes a link; the closure is reported as an event.
  virtual void closeLink(link_id Link) = 0;
};

} // namespace clementine

#endif
