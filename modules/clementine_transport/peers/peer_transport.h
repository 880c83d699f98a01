#ifndef CLEMENTINE_TRANSPORT_PEERS_PEER_TRANSPORT_H
#define CLEMENTINE_TRANSPORT_PEERS_PEER_TRANSPORT_H

#include "clementine_core/clementine_core.h"
#include "clementine_transport/session/peer_session.h"
#include "clementine_wire/clementine_wire.h"

#include <cstdint>
#include <memory>
#include <string>

namespace clementine {

/// Hears what happens on links. Called on the transport's thread.
class peer_link_listener {
public:
  virtual ~peer_link_listener() = default;

  /// A link has shaken hands. @returns false to be told again later.
  virtual bool linkUp(link_id Link, const node_identity &Peer) = 0;

  /// A link is closed for good. When it was never up, none of the messages
  /// handed to it has left this node. @returns false to be told again later.
  virtual bool linkDown(link_id Link, bool WasUp) = 0;

  /// A message has come. @returns false, leaving @p Message as it was, to be
  /// told again later; until then the transport reads nothing.
  virtual bool messageArrived(link_id Link, peer_message &Message) = 0;
};

/// Limits of the TCP transport.
struct peer_transport_settings {
  /// Where to accept links.
  endpoint Listen;
  peer_session_settings Session;
  /// The most links that are open at once.
  std::size_t MostLinks = 4096;
  /// How many commands may wait for the transport's thread.
  std::size_t CommandCapacity = 1U << 16U;
};

/// The TCP links of a node, on a thread of their own.
class peer_transport final : public supervised, public peer_port {
public:
  /// @param Listener has to outlive the transport.
  /// @param Keys is copied.
  peer_transport(peer_transport_settings Settings, node_identity Self,
                 const peer_key_ring &Keys, std::uint64_t RandomSeed,
                 const clock &Clock, peer_link_listener &Listener);
  ~peer_transport() override;

  peer_transport(const peer_transport &) = delete;
  peer_transport &operator=(const peer_transport &) = delete;

  const std::string &name() const override;

  /// Binds the socket and starts the thread.
  /// @throws std::system_error when the address cannot be bound.
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
