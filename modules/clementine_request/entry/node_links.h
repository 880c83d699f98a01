#ifndef CLEMENTINE_REQUEST_ENTRY_NODE_LINKS_H
#define CLEMENTINE_REQUEST_ENTRY_NODE_LINKS_H

#include "clementine_core/clementine_core.h"
#include "clementine_wire/links/node_link.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace clementine {

/// Manages outbound links to other nodes, at most one to each.
class node_links {
public:
  /// @param SelfName the name of this node, which is reached by the local link.
  node_links(std::string SelfName, peer_port &Peers);

  node_links(const node_links &) = delete;
  node_links &operator=(const node_links &) = delete;

  /// @returns the link to a node; opens one if there is none.
  link_id linkTo(const std::string &Node, const endpoint &Remote);

  /// Records the node that answered on a link.
  /// @returns false if the link is unknown, or if another node answered than
  /// the one it was opened to; the link is closed in the second case.
  bool onLinkUp(link_id Link, const node_identity &Peer);

  /// Removes a link that has closed.
  void onLinkDown(link_id Link);

  /// @returns the node that answered on a link, or no value if the link is not
  /// up.
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
