#include "clementine_proxy/peers/peer_hub.h"

#include "clementine_proxy/model/boot_clock.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace clementine::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const logger &log() {
  static const logger Log("peers");
  return Log;
}

constexpr std::chrono::milliseconds TickInterval{100};
/// A longer gap between two ticks means that this process was suspended.
constexpr std::chrono::milliseconds ProcessPauseThreshold{600};

instant now() { return boot_clock().now(); }

} // namespace

peer_hub::peer_hub(asio::io_context &Loop, peer_hub_settings Settings,
                   endpoint Listen, peer_hub_listener &Listener)
    : Loop(Loop), Settings(Settings), Listen(std::move(Listen)),
      Listener(Listener), Acceptor(Loop), Timer(Loop) {}

peer_hub::~peer_hub() = default;

void peer_hub::start() {
  const tcp::endpoint Address(asio::ip::make_address(Listen.Host), Listen.Port);
  Acceptor.open(Address.protocol());
  Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Acceptor.bind(Address);
  Acceptor.listen();
  accept();
  tick();
}

void peer_hub::stopConnecting() {
  IsStopped = true;
  boost::system::error_code Ignored; // The sockets are discarded either way.
  Acceptor.close(Ignored);
  Timer.cancel();
  for (auto &[Node, Entry] : Dialled)
    if (Entry.Connecting)
      Entry.Connecting->close(Ignored);
}

void peer_hub::beginClosing() {
  stopConnecting();
  for (auto &[Number, Link] : Accepted)
    Link->finishSending();
  for (auto &[Node, Entry] : Dialled)
    if (Entry.Link)
      Entry.Link->finishSending();
}

bool peer_hub::hasLinks() const {
  return !Accepted.empty() || !DialledNodeByLink.empty();
}

void peer_hub::stop() {
  stopConnecting();
  for (auto &[Number, Link] : Accepted)
    Link->close();
  for (auto &[Node, Entry] : Dialled)
    if (Entry.Link)
      Entry.Link->close();
}

void peer_hub::accept() {
  Acceptor.async_accept([this](const auto &Error, tcp::socket Socket) {
    if (IsStopped || Error == asio::error::operation_aborted)
      return;
    accept();
    if (!Error && mayAccept())
      return addAccepted(std::move(Socket));
    if (!Error)
      return log().warning("link not accepted: too many are open",
                           {{"open", Accepted.size()}});
    log().warning("failed to accept peer connection",
                  {{"error", Error.message()}});
  });
}

bool peer_hub::mayAccept() const {
  const auto IsUnknown = [](const auto &Each) { return !Each.second->Peer; };
  return Accepted.size() < Settings.MaxAcceptedLinks &&
         static_cast<std::size_t>(std::ranges::count_if(Accepted, IsUnknown)) <
             Settings.MaxUnknownLinks;
}

void peer_hub::closeSilentLinks(instant Now) {
  for (const auto &[Number, Link] : Accepted)
    if (!Link->Peer && Now - Link->openedAt() > Settings.HelloTimeout)
      Link->close();
}

void peer_hub::linkBufferChanged(std::size_t Before, std::size_t After) {
  BufferedBytes = BufferedBytes + After - Before;
  if (BufferedBytes <= Settings.MaxBufferedBytes || After < Before)
    return;
  const std::shared_ptr<peer_link> Largest = largestBuffer();
  log().warning("link closed: unfinished messages exceed their limit",
                {{"link", Largest->number()},
                 {"peer", Largest->Peer ? Largest->Peer->Node : ""},
                 {"bytes", Largest->bufferedBytes()}});
  Largest->close();
}

std::shared_ptr<peer_link> peer_hub::largestBuffer() const {
  std::shared_ptr<peer_link> Largest;
  const auto Compare = [&](const std::shared_ptr<peer_link> &Link) {
    if (Link && (!Largest || Link->bufferedBytes() > Largest->bufferedBytes()))
      Largest = Link;
  };
  for (const auto &[Number, Link] : Accepted)
    Compare(Link);
  for (const auto &[Node, Entry] : Dialled)
    Compare(Entry.Link);
  return Largest;
}

void peer_hub::addAccepted(tcp::socket Socket) {
  const std::uint64_t Number = NextLinkNumber++;
  auto Link =
      std::make_shared<peer_link>(std::move(Socket), linkListener(), Number);
  Accepted.emplace(Number, Link);
  Link->start();
}

bool peer_hub::open(const std::string &Node, const endpoint &Address) {
  if (IsStopped)
    return false;
  dialled &Entry = Dialled[Node];
  if (Entry.Address != Address) {
    if (Entry.Link)
      Entry.Link->close();
    Entry.Address = Address;
    Entry.FailedAt = instant();
  }
  if (Entry.IsUp || Entry.Link || Entry.Connecting)
    return Entry.IsUp;
  dial(Node, Entry);
  return false;
}

bool peer_hub::isUp(const std::string &Node) const {
  const auto Found = Dialled.find(Node);
  return Found != Dialled.end() && Found->second.IsUp;
}

void peer_hub::dial(const std::string &Node, dialled &Entry) {
  Entry.DialledAt = now();
  auto Socket = std::make_shared<tcp::socket>(Loop);
  Entry.Connecting = Socket;
  boost::system::error_code Malformed;
  const auto Host = asio::ip::make_address(Entry.Address.Host, Malformed);
  if (Malformed) {
    log().warning("address of a node is no IP address",
                  {{"peer", Node}, {"address", Entry.Address.text()}});
    asio::post(Loop, [this, Node, Malformed, Socket] {
      handleConnect(Node, Malformed, Socket);
    });
    return;
  }
  Socket->async_connect(tcp::endpoint(Host, Entry.Address.Port),
                        [this, Node, Socket](const auto &Error) {
                          handleConnect(Node, Error, Socket);
                        });
}

void peer_hub::handleConnect(const std::string &Node,
                             const boost::system::error_code &Error,
                             const std::shared_ptr<tcp::socket> &Socket) {
  const auto Found = Dialled.find(Node);
  if (IsStopped || Found == Dialled.end() || Found->second.Connecting != Socket)
    return;
  Found->second.Connecting.reset();
  if (Error)
    return handleLinkFailure(Node);
  const std::uint64_t Number = NextLinkNumber++;
  auto Link =
      std::make_shared<peer_link>(std::move(*Socket), linkListener(), Number);
  Found->second.Link = Link;
  DialledNodeByLink[Number] = Node;
  Link->start();
  Link->send(Listener.helloTo(Node));
}

void peer_hub::handleLinkFailure(const std::string &Node) {
  const auto Found = Dialled.find(Node);
  if (Found == Dialled.end())
    return;
  const bool WasUp = Found->second.IsUp;
  Found->second.IsUp = false;
  Found->second.Link.reset();
  Found->second.FailedAt = now();
  log().info("link lost", {{"peer", Node}, {"was_up", WasUp ? 1 : 0}});
  Listener.peerDown(Node, WasUp);
}

void peer_hub::sendTo(const std::string &Node, const peer_message &Message) {
  const auto Found = Dialled.find(Node);
  if (Found == Dialled.end() || !Found->second.Link)
    return;
  const instant Now = now();
  dialled &Entry = Found->second;
  const bool WasIdle = Now - Entry.LastSentAt > Settings.ProbeInterval;
  Entry.LastSentAt = Now;
  Entry.Link->send(Message);
  // Probes an idle link on its first use, to detect early that it is dead.
  if (WasIdle && Now - Entry.Link->lastReceivedAt() > Settings.ProbeInterval)
    probe(Entry, Now);
}

void peer_hub::reply(std::uint64_t Link, const peer_message &Message) {
  const auto Found = Accepted.find(Link);
  if (Found != Accepted.end())
    Found->second->send(Message);
}

void peer_hub::broadcastStatus() {
  for (auto &[Number, Link] : Accepted)
    Link->send(Listener.status());
}

void peer_hub::broadcast(const record_update &Update, const std::string &Zone) {
  const auto SendTo = [&](peer_link &Link) {
    if (Link.hasStampedFrames() && Link.Peer && Link.Peer->Zone == Zone)
      Link.send(Update);
  };
  for (auto &[Number, Link] : Accepted)
    SendTo(*Link);
  for (auto &[Node, Entry] : Dialled)
    if (Entry.IsUp)
      SendTo(*Entry.Link);
}

void peer_hub::removePeer(const std::string &Node) {
  const auto Found = Dialled.find(Node);
  if (Found == Dialled.end())
    return;
  boost::system::error_code Ignored; // The socket is discarded either way.
  if (Found->second.Connecting)
    Found->second.Connecting->close(Ignored);
  const auto Link = Found->second.Link;
  Dialled.erase(Found);
  if (Link) {
    DialledNodeByLink.erase(Link->number());
    Link->close();
  }
}

void peer_hub::linkMessage(const std::shared_ptr<peer_link> &Link,
                           peer_message Message) {
  const auto Owner = DialledNodeByLink.find(Link->number());
  const bool IsDialled = Owner != DialledNodeByLink.end();
  if (auto *Hello = std::get_if<peer_hello>(&Message)) {
    Link->Peer = Hello->Self;
    if (!IsDialled) {
      Link->send(Listener.helloTo(Hello->Self.Node));
      return Listener.peerRequestReceived(Link->number(), std::move(Message));
    }
    const std::string Node = Owner->second;
    if (Hello->Self.Node != Node) {
      // The address is now used by another node.
      log().warning("address belongs to another node than the one dialled",
                    {{"peer", Node}, {"found", Hello->Self.Node}});
      return Link->close();
    }
    dialled &Entry = Dialled[Node];
    Entry.IsUp = true;
    Entry.UnansweredSince.reset();
    Entry.ProbedAt = now();
    log().info("link up", {{"peer", Node},
                           {"incarnation", Hello->Self.Incarnation},
                           {"config", Hello->ConfigVersion}});
    return Listener.peerUp(Node, *Hello);
  }
  if (IsDialled)
    return Listener.peerReplyReceived(std::string(Owner->second),
                                      std::move(Message));
  if (IsStopped && std::holds_alternative<attempt_request>(Message))
    return; // Its report could not be sent.
  if (std::holds_alternative<peer_probe>(Message))
    Link->send(Listener.status());
  Listener.peerRequestReceived(Link->number(), std::move(Message));
}

void peer_hub::linkClosed(const std::shared_ptr<peer_link> &Link) {
  Accepted.erase(Link->number());
  const auto Owner = DialledNodeByLink.find(Link->number());
  if (Owner == DialledNodeByLink.end())
    return;
  const std::string Node = Owner->second;
  DialledNodeByLink.erase(Owner);
  const auto Found = Dialled.find(Node);
  if (!IsStopped && Found != Dialled.end() && Found->second.Link == Link)
    handleLinkFailure(Node);
}

void peer_hub::checkLink(const std::string &Node, dialled &Entry, instant Now) {
  if (Entry.UnansweredSince &&
      Entry.Link->lastReceivedAt() > *Entry.UnansweredSince)
    Entry.UnansweredSince.reset();
  if (Entry.UnansweredSince) {
    const duration UnansweredTime = Now - *Entry.UnansweredSince;
    if (UnansweredTime > Settings.UnresponsiveTimeout) {
      log().warning("link is silent", {{"peer", Node}});
      return Entry.Link->close();
    }
    if (UnansweredTime > Settings.SuspectTimeout)
      Listener.peerUnresponsive(Node);
  }
  const duration Interval = Now - Entry.LastSentAt < Settings.IdleProbeInterval
                                ? Settings.ProbeInterval
                                : Settings.IdleProbeInterval;
  if (Now - std::max(Entry.ProbedAt, Entry.Link->lastReceivedAt()) < Interval)
    return;
  probe(Entry, Now);
}

void peer_hub::probe(dialled &Entry, instant Now) {
  Entry.ProbedAt = Now;
  if (!Entry.UnansweredSince)
    Entry.UnansweredSince = Now;
  Entry.Link->send(peer_probe{Listener.status().ConfigVersion});
}

void peer_hub::tick() {
  if (IsStopped)
    return;
  Timer.expires_after(TickInterval);
  Timer.async_wait([this](const auto &Error) {
    if (!Error)
      tick();
  });
  const instant Now = now();
  // Replies may be missing only because this process was suspended itself.
  if (Now - LastTick > ProcessPauseThreshold)
    for (auto &[Node, Entry] : Dialled)
      Entry.UnansweredSince.reset();
  LastTick = Now;
  closeSilentLinks(Now);
  std::vector<std::string> Failed;
  for (auto &[Node, Entry] : Dialled) {
    if (!Entry.IsUp && (Entry.Connecting || Entry.Link) &&
        Now - Entry.DialledAt > Settings.ConnectTimeout) {
      Failed.push_back(Node);
      continue;
    }
    if (Entry.Link && Entry.IsUp)
      checkLink(Node, Entry, Now);
  }
  for (const std::string &Node : Failed) {
    dialled &Entry = Dialled[Node];
    boost::system::error_code Ignored; // The attempt is abandoned either way.
    if (Entry.Connecting)
      std::exchange(Entry.Connecting, nullptr)->close(Ignored);
    if (Entry.Link) {
      DialledNodeByLink.erase(Entry.Link->number());
      std::exchange(Entry.Link, nullptr)->close();
    }
    handleLinkFailure(Node);
  }
}

} // namespace clementine::proxy
