#ifndef CLEMENTINE_PROXY_NODE_RECORD_RELAY_H
#define CLEMENTINE_PROXY_NODE_RECORD_RELAY_H

#include "clementine_platform/clementine_platform.h"
#include "clementine_proxy/peers/peer_messages.h"

#include <cstddef>
#include <string>
#include <vector>

namespace clementine::proxy {

/// How many nodes of each zone read changes of records promptly and pass them
/// on over their links.
constexpr std::size_t RelaysPerZone = 2;

/// Decides whether a node is one of the relays of its zone: those whose names
/// have the lowest hashes. Every node decides for itself by the records that it
/// knows, without an election. It does no harm if two nodes differ: every node
/// reads all changes itself, only later.
/// @param NodesOfZone the nodes of the zone that have a record.
bool isRecordRelay(const std::string &OwnNode,
                   const std::vector<std::string> &NodesOfZone);

/// How many other nodes a starting node asks for their configuration.
constexpr std::size_t AdvisersOfStart = 3;

/// Selects the nodes that a starting node asks whether they have a newer
/// configuration than the store. Each node selects others.
std::vector<node_record>
selectAdvisers(const std::string &OwnNode,
               const std::vector<node_record> &Records);

/// @returns whether a relayed record is newer than all that this node has read
/// from the store itself, of which @p LastRead is the last position. An update
/// of a later history is newer whatever its revision.
bool isNewerThanRead(const record_update &Update,
                     const store_position &LastRead);

} // namespace clementine::proxy

#endif
