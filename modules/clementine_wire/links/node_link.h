#ifndef CLEMENTINE_WIRE_LINKS_NODE_LINK_H
#define CLEMENTINE_WIRE_LINKS_NODE_LINK_H

#include "clementine_core/clementine_core.h"
#include "clementine_wire/messages/messages.h"

#include <cstdint>

namespace clementine {

/// Names one connection between two nodes for as long as it lasts.
///
/// Identifiers of dialled links are chosen by whoever dials and stay below
/// FirstAcceptedLink; the transport numbers accepted links from there on.
using link_id = std::uint64_t;

/// Stands for the way from a node to itself.
constexpr link_id LocalLink = 0;

/// The first identifier of an accepted link.
constexpr link_id FirstAcceptedLink = 1ULL << 63U;

/// Stands for no link at all.
constexpr link_id NoLink = ~link_id{0};

/// Where the answer to an attempt goes.
struct run_address {
  link_id Link = LocalLink;
  request_id Run;

  bool operator==(const run_address &) const = default;
};

/// Opens links to other nodes and sends on them; the narrow side of a transport
/// that decisions see.
class peer_port {
public:
  virtual ~peer_port() = default;

  /// Opens a link; that it is up, or down, comes back as an event.
  virtual void openLink(link_id Link, const endpoint &Remote) = 0;

  /// Sends on a link; without effect when the link is gone.
  virtual void sendOn(link_id Link, peer_message Message) = 0;

  /// Closes a link; that it is down comes back as an event.
  virtual void closeLink(link_id Link) = 0;
};

} // namespace clementine

#endif
