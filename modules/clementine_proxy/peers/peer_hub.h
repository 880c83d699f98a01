#ifndef CLEMENTINE_PROXY_PEERS_PEER_HUB_H
#define CLEMENTINE_PROXY_PEERS_PEER_HUB_H

#include "clementine_proxy/peers/peer_link.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>
#include <string>

namespace clementine::proxy {

/// Time-outs and intervals of a peer_hub.
struct peer_hub_settings {
  duration ConnectTimeout = std::chrono::milliseconds(400);
  /// A link in use is probed after receiving nothing for this long.
  duration ProbeInterval = std::chrono::milliseconds(500);
  /// Replaces ProbeInterval for a link on which nothing was sent for this long.
  duration IdleProbeInterval = std::chrono::milliseconds(2000);
  /// A peer is reported as unresponsive if nothing is received for this long
  /// after a probe.
  duration SuspectTimeout = std::chrono::milliseconds(300);
  /// A link is closed if nothing is received for this long after a probe.
  duration UnresponsiveTimeout = std::chrono::milliseconds(900);
  /// An accepted link is closed if its hello has not arrived after this time.
  duration HelloTimeout = std::chrono::milliseconds(2000);
  /// The most accepted links whose hello has not arrived yet, and the most in
  /// all; further ones are closed at once.
  std::size_t MaxUnknownLinks = 64;
  std::size_t MaxAcceptedLinks = 2000;
  /// The most bytes of incomplete messages that all links hold together. Above
  /// it the link that holds most is closed.
  std::size_t MaxBufferedBytes = std::size_t{96} << 20U;
  /// Minimum delay before dialling an unreachable node again; not applied yet.
  duration RedialDelay = std::chrono::milliseconds(300);

  bool operator==(const peer_hub_settings &) const = default;
};

/// Receives events of dialled nodes, and requests from nodes that dialled this
/// one.
class peer_hub_listener {
public:
  virtual ~peer_hub_listener() = default;

  /// @returns the hello that this node sends to @p Node when a link between
  /// them is established.
  virtual peer_hello helloTo(const std::string &Node) = 0;
  virtual peer_status status() = 0;

  /// Called when the hello of a dialled node arrives.
  virtual void peerUp(const std::string &Node, const peer_hello &Hello) = 0;
  /// Called when the link to a dialled node is lost or could not be
  /// established.
  virtual void peerDown(const std::string &Node, bool WasUp) = 0;
  /// Called repeatedly while nothing is received from a dialled node, once
  /// peer_hub_settings::SuspectTimeout has passed after a probe.
  virtual void peerUnresponsive(const std::string &Node) = 0;
  /// Called for every message other than hello from a dialled node.
  virtual void peerReplyReceived(const std::string &Node,
                                 peer_message Message) = 0;
  /// Called for every message from a node that dialled this one.
  virtual void peerRequestReceived(std::uint64_t Link,
                                   peer_message Message) = 0;
};

/// Manages the links of this node: one to each node that it sends requests to,
/// and those that other nodes have opened. Must only be called on the thread of
/// the event loop.
class peer_hub final : private peer_link_listener {
public:
  peer_hub(boost::asio::io_context &Loop, peer_hub_settings Settings,
           endpoint Listen, peer_hub_listener &Listener);
  ~peer_hub() override;

  peer_hub(const peer_hub &) = delete;
  peer_hub &operator=(const peer_hub &) = delete;

  /// Binds the address and starts accepting links.
  /// @throws boost::system::system_error when the address cannot be bound.
  void start();
  /// Accepts and opens no more links, and ends each link once its messages are
  /// written and the peer has closed its end.
  void beginClosing();
  /// @returns whether any link is open.
  bool hasLinks() const;
  /// Stops accepting and closes all links at once.
  void stop();

  /// Opens a link to @p Node unless one exists or is being established.
  /// @returns whether the link is up.
  bool open(const std::string &Node, const endpoint &Address);
  /// @returns whether a link to @p Node is up.
  bool isUp(const std::string &Node) const;
  /// Sends to a dialled node; does nothing if there is no link to it.
  void sendTo(const std::string &Node, const peer_message &Message);
  /// Sends on a link that another node has opened; does nothing if it is
  /// closed.
  void reply(std::uint64_t Link, const peer_message &Message);
  /// Sends the current status to every node that has dialled this one.
  void broadcastStatus();
  /// Passes a record on over the links with nodes of @p Zone, whoever dialled.
  void broadcast(const record_update &Update, const std::string &Zone);
  /// Closes the link to a node that has left, and removes its entry.
  void removePeer(const std::string &Node);

private:
  struct dialled {
    endpoint Address;
    std::shared_ptr<boost::asio::ip::tcp::socket> Connecting;
    std::shared_ptr<peer_link> Link;
    bool IsUp = false;
    instant DialledAt;
    instant FailedAt;
    instant LastSentAt;
    instant ProbedAt;
    /// When the earliest unanswered probe was sent.
    std::optional<instant> UnansweredSince;
  };

  void linkMessage(const std::shared_ptr<peer_link> &Link,
                   peer_message Message) override;
  void linkClosed(const std::shared_ptr<peer_link> &Link) override;
  void linkBufferChanged(std::size_t Before, std::size_t After) override;
  peer_link_listener &linkListener() { return *this; }
  void stopConnecting();
  void accept();
  void addAccepted(boost::asio::ip::tcp::socket Socket);
  bool mayAccept() const;
  void closeSilentLinks(instant Now);
  std::shared_ptr<peer_link> largestBuffer() const;
  void dial(const std::string &Node, dialled &Entry);
  void
  handleConnect(const std::string &Node, const boost::system::error_code &Error,
                const std::shared_ptr<boost::asio::ip::tcp::socket> &Socket);
  void handleLinkFailure(const std::string &Node);
  void tick();
  void checkLink(const std::string &Node, dialled &Entry, instant Now);
  void probe(dialled &Entry, instant Now);
  dialled *owner(const std::shared_ptr<peer_link> &Link, std::string &Node);

  boost::asio::io_context &Loop;
  const peer_hub_settings Settings;
  const endpoint Listen;
  peer_hub_listener &Listener;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer Timer;
  std::map<std::string, dialled> Dialled;
  std::map<std::uint64_t, std::string> DialledNodeByLink;
  std::map<std::uint64_t, std::shared_ptr<peer_link>> Accepted;
  std::uint64_t NextLinkNumber = 1;
  /// The bytes of incomplete messages that all links hold.
  std::size_t BufferedBytes = 0;
  instant LastTick;
  /// No more links are accepted or opened.
  bool IsStopped = false;
};

} // namespace clementine::proxy

#endif
