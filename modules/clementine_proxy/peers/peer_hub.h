#ifndef CLEMENTINE_PROXY_PEERS_PEER_HUB_H
#define CLEMENTINE_PROXY_PEERS_PEER_HUB_H

#include "clementine_proxy/peers/peer_link.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>
#include <string>

namespace clementine::proxy {

/// Times of a peer_hub.
struct peer_hub_settings {
  duration ConnectTimeout = std::chrono::milliseconds(400);
  /// A link in use that has brought nothing for so long is probed.
  duration ProbeInterval = std::chrono::milliseconds(500);
  /// The same for a link on which nothing was sent for that long.
  duration IdleProbeInterval = std::chrono::milliseconds(2000);
  /// A link that answers nothing for so long after a probe is suspect.
  duration SuspectLimit = std::chrono::milliseconds(300);
  /// A link that answers nothing for so long after a probe is lost.
  duration SilenceLimit = std::chrono::milliseconds(900);
  /// A node that could not be reached is not dialled again for so long.
  duration RedialPause = std::chrono::milliseconds(300);

  bool operator==(const peer_hub_settings &) const = default;
};

/// Hears of nodes that this node has dialled, and of work from others.
class peer_hub_listener {
public:
  virtual ~peer_hub_listener() = default;

  /// @returns what this node says of itself at the start of a link.
  virtual peer_hello hello() = 0;
  virtual peer_status status() = 0;

  /// A dialled node has said hello.
  virtual void peerUp(const std::string &Node, const peer_hello &Hello) = 0;
  /// The link to a dialled node is gone, or could not be made.
  virtual void peerDown(const std::string &Node, bool WasUp) = 0;
  /// A dialled node has not answered for a while.
  virtual void peerUnresponsive(const std::string &Node) = 0;
  /// A dialled node has sent something.
  virtual void peerReplyReceived(const std::string &Node,
                                 peer_message Message) = 0;
  /// A node that has dialled this one asks for something.
  virtual void peerRequestReceived(std::uint64_t Link,
                                   peer_message Message) = 0;
};

/// Keeps the links of this node: one to each node that it sends work to, and
/// those that others have made. All calls come from the loop's thread.
class peer_hub final : private peer_link_listener {
public:
  peer_hub(boost::asio::io_context &Loop, peer_hub_settings Settings,
           endpoint Listen, peer_hub_listener &Listener);
  ~peer_hub() override;

  peer_hub(const peer_hub &) = delete;
  peer_hub &operator=(const peer_hub &) = delete;

  /// Binds and begins to accept.
  /// @throws boost::system::system_error when the address cannot be bound.
  void start();
  /// Closes everything.
  void stop();

  /// Makes sure that a link to @p Node exists or is being made.
  /// @returns whether it is up.
  bool open(const std::string &Node, const endpoint &Address);
  /// @returns whether a link to @p Node is up.
  bool isUp(const std::string &Node) const;
  /// Sends to a dialled node; its link is up.
  void sendTo(const std::string &Node, const peer_message &Message);
  /// Sends on a link that another node has made; nothing if it is gone.
  void reply(std::uint64_t Link, const peer_message &Message);
  /// Tells every node that has dialled this one how its gate is.
  void broadcastStatus();
  /// Gives up the link to a node that has left.
  void removePeer(const std::string &Node);

private:
  struct dialled {
    endpoint Address;
    std::shared_ptr<boost::asio::ip::tcp::socket> Connecting;
    std::shared_ptr<peer_link> Link;
    bool IsUp = false;
    instant DialledAt;
    instant FailedAt;
    instant UsedAt;
    instant ProbedAt;
    /// When the first probe went out to which nothing has come back.
    std::optional<instant> UnansweredSince;
  };

  void linkMessage(const std::shared_ptr<peer_link> &Link,
                   peer_message Message) override;
  void linkClosed(const std::shared_ptr<peer_link> &Link) override;
  peer_link_listener &links() { return *this; }
  void accept();
  void dial(const std::string &Node, dialled &Entry);
  void connected(const std::string &Node,
                 const boost::system::error_code &Error,
                 const std::shared_ptr<boost::asio::ip::tcp::socket> &Socket);
  void fail(const std::string &Node);
  void tick();
  void watchLink(const std::string &Node, dialled &Entry, instant Now);
  void probe(dialled &Entry, instant Now);
  dialled *owner(const std::shared_ptr<peer_link> &Link, std::string &Node);

  boost::asio::io_context &Loop;
  const peer_hub_settings Settings;
  const endpoint Listen;
  peer_hub_listener &Listener;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer Timer;
  std::map<std::string, dialled> Dialled;
  std::map<std::uint64_t, std::string> DialledByLink;
  std::map<std::uint64_t, std::shared_ptr<peer_link>> Accepted;
  std::uint64_t NextNumber = 1;
  instant LastTick;
  bool IsStopped = false;
};

} // namespace clementine::proxy

#endif
