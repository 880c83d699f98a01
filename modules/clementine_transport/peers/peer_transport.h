#ifndef CLEMENTINE_TRANSPORT_PEERS_PEER_TRANSPORT_H
#define CLEMENTINE_TRANSPORT_PEERS_PEER_TRANSPORT_H

#include "clementine_core/clementine_core.h"
#include "clementine_transport/session/peer_session.h"
#include "clementine_wire/clementine_wire.h"

#include <cstdint>
#include <memory>
#include <string>

namespace clementine {

/// Receives the events of links. Called on the transport's thread.
class peer_link_listener {
public:
  virtual ~peer_link_listener() = default;

  /// The handshake on a link has completed.
  /// @returns false to have the event delivered again later.
  virtual bool linkUp(link_id Link, const node_identity &Peer) = 0;

  /// A link is closed permanently. If it was never up, none of the messages
  /// passed to it has left this node.
  /// @returns false to have the event delivered again later.
  virtual bool linkDown(link_id Link, bool WasUp) = 0;

  /// A message has been received.
  /// @returns false, leaving @p Message unchanged, to have the event delivered
  /// again later; until then the transport starts no further reads.
  virtual bool messageArrived(link_id Link, peer_message &Message) = 0;
};

/// Limits of the TCP transport.
struct peer_transport_settings {
  /// The address on which links are accepted.
  endpoint Listen;
  peer_session_settings Session;
  /// The maximum number of open links.
  std::size_t MaxLinks = 4096;
  /// The maximum number of commands queued for the transport's thread.
  std::size_t CommandCapacity = 1U << 16U;
};

/// The TCP links of a node, served by a dedicated thread.
class peer_transport final : public supervised, public peer_port {
public:
  /// @param Listener must outlive the transport.
  /// @param Keys is copied.
  peer_transport(peer_transport_settings Settings, node_identity Self,
                 const peer_key_ring &Keys, std::uint64_t RandomSeed,
                 const clock &Clock, peer_link_listener &Listener);
  ~peer_transport() override;

  peer_transport(const peer_transport &) = delete;
  peer_transport &operator=(const peer_transport &) = delete;

  const std::string &name() const override;

  /// Binds the socket and starts the thread.
  /// @throws std::system_error if the address cannot be bound.
  void start() override;
  void stop() override;

  void openLink(link_id Link, const endpoint &Remote) override;
  void sendOn(link_id Link, peer_message Message) override;
  void closeLink(link_id Link) override;

private:
  class implementation;
  std::shared_ptr<implementation> Implementation;
};

} // namespace clementine

#endif
