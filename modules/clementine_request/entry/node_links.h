#ifndef CLEMENTINE_REQUEST_ENTRY_NODE_LINKS_H
#define CLEMENTINE_REQUEST_ENTRY_NODE_LINKS_H

#include "clementine_core/clementine_core.h"
#include "clementine_wire/links/node_link.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace clementine {

/// Keeps at most one dialled link to each node.
class node_links {
public:
  /// @param SelfName the node that is reached by the local link.
  node_links(std::string SelfName, peer_port &Peers);

  node_links(const node_links &) = delete;
  node_links &operator=(const node_links &) = delete;

  /// @returns the link to a node, opened now if there is none.
  link_id linkTo(const std::string &Node, const endpoint &Remote);

  /// Notes who answered on a link.
  /// @returns false, closing the link, when that is not the node it was opened
  /// to.
  bool onLinkUp(link_id Link, const node_identity &Peer);

  /// Notes that a link is gone.
  void onLinkDown(link_id Link);

  /// @returns who answered on a link that is up.
  std::optional<node_identity> peerOf(link_id Link) const;

private:
  struct open_link {
    std::string Node;
    std::optional<node_identity> Peer;
  };

  const std::string SelfName;
  peer_port &Peers;
  std::unordered_map<link_id, open_link> Links;
  std::unordered_map<std::string, link_id> ByNode;
  link_id NextLink = LocalLink + 1;
};

} // namespace clementine

#endif
