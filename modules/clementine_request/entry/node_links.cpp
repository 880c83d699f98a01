#include "clementine_request/entry/node_links.h"

#include <utility>

namespace clementine {

node_links::node_links(std::string SelfName, peer_port &Peers)
    : SelfName(std::move(SelfName)), Peers(Peers) {}

link_id node_links::linkTo(const std::string &Node, const endpoint &Remote) {
  if (Node == SelfName)
    return LocalLink;
  if (const auto Found = ByNode.find(Node); Found != ByNode.end())
    return Found->second;
  const link_id Link = NextLink++;
  Links[Link] = {Node, std::nullopt};
  ByNode[Node] = Link;
  Peers.openLink(Link, Remote);
  return Link;
}

bool node_links::onLinkUp(link_id Link, const node_identity &Peer) {
  const auto Found = Links.find(Link);
  if (Found == Links.end())
    return false;
  if (Found->second.Node != Peer.Name) {
    Peers.closeLink(Link);
    return false;
  }
  Found->second.Peer = Peer;
  return true;
}

void node_links::onLinkDown(link_id Link) {
  const auto Found = Links.find(Link);
  if (Found == Links.end())
    return;
  ByNode.erase(Found->second.Node);
  Links.erase(Found);
}

std::optional<node_identity> node_links::peerOf(link_id Link) const {
  const auto Found = Links.find(Link);
  return Found == Links.end() ? std::nullopt : Found->second.Peer;
}

} // namespace clementine
