/// Transports messages between nodes: framed and authenticated TCP connections,
/// and the UDP socket of the gossip protocol.
///
/// Depends on clementine_core, clementine_wire and clementine_security.
#ifndef CLEMENTINE_TRANSPORT_H
#define CLEMENTINE_TRANSPORT_H

#include "clementine_transport/gossip/gossip_socket.h"
#include "clementine_transport/peers/peer_transport.h"
#include "clementine_transport/session/peer_session.h"

#endif
