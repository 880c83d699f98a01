#ifndef CLEMENTINE_NODE_ENGINE_NODE_EVENT_H
#define CLEMENTINE_NODE_ENGINE_NODE_EVENT_H

#include "clementine_request/clementine_request.h"

#include <memory>
#include <variant>

namespace clementine {

struct link_up_event {
  link_id Link = NoLink;
  node_identity Peer;
};

struct link_down_event {
  link_id Link = NoLink;
  bool WasUp = false;
};

struct message_event {
  link_id Link = NoLink;
  peer_message Message;
};

struct bundle_event {
  std::shared_ptr<const bundle> Accepted;
};

struct directory_event {
  std::shared_ptr<const service_directory> View;
};

struct announce_event {
  std::string Service;
};

struct drain_event {};

/// Every event that other tasks send to the engine.
using node_event =
    std::variant<caller_request, link_up_event, link_down_event, message_event,
                 upstream_result, claim_result, bundle_event, directory_event,
                 announce_event, drain_event>;

} // namespace clementine

#endif
