#include "clementine_transport/peers/peer_transport.h"

#include "clementine_transport/peers/peer_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <unordered_map>
#include <utility>
#include <variant>

namespace clementine {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// How often links are checked for due heartbeats and for timeouts.
constexpr std::chrono::milliseconds TickInterval{50};
/// The delay before an event that the listener refused is delivered again.
constexpr std::chrono::milliseconds RedeliveryInterval{1};
/// The delay before accepting again after a failure such as too many open
/// files.
constexpr std::chrono::milliseconds AcceptRetryDelay{100};

struct open_command {
  link_id Link = 0;
  endpoint Remote;
};

struct send_command {
  link_id Link = 0;
  peer_message Message;
};

struct close_command {
  link_id Link = 0;
};

using command = std::variant<open_command, send_command, close_command>;

} // namespace

/// Everything below runs on the transport's thread, except start(), stop() and
/// push().
class peer_transport::implementation final : public connection_owner {
public:
  implementation(peer_transport_settings Settings, node_identity Self,
                 const peer_key_ring &Keys, std::uint64_t RandomSeed,
                 const clock &Clock, peer_link_listener &Listener)
      : Settings(std::move(Settings)), Self(std::move(Self)), Keys(Keys),
        Random(RandomSeed), Clock(Clock), Listener(Listener),
        Commands(
            this->Settings.CommandCapacity,
            [this] { asio::post(Context, [this] { executeCommands(); }); }),
        Acceptor(Context), AcceptTimer(Context), TickTimer(Context),
        RedeliveryTimer(Context), Task(
                                      "peers",
                                      [this](const std::atomic<bool> &) {
                                        Context.restart();
                                        Context.run();
                                      },
                                      [this] { Context.stop(); }, {}) {}

  void start() {
    const tcp::endpoint Local(asio::ip::make_address(Settings.Listen.Host),
                              Settings.Listen.Port);
    Acceptor.open(Local.protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(Local);
    Acceptor.listen();
    accept();
    scheduleTick();
    Task.start();
  }

  void stop() {
    Commands.close();
    Task.stop();
    boost::system::error_code Ignored;
    Acceptor.close(Ignored);
  }

  /// Blocks while the ring is full: the engine must not lose a command.
  void push(command Command) { Commands.push(std::move(Command)); }

  const std::string &name() const { return Task.name(); }

  void connectionUp(link_id Link, const node_identity &Peer) override {
    deliver([this, Link, Peer] { return Listener.linkUp(Link, Peer); });
  }

  void connectionDown(link_id Link, bool WasUp) override {
    deliver([this, Link, WasUp] { return Listener.linkDown(Link, WasUp); });
    // The connection is still in use by the caller, so it is released later.
    asio::post(Context, [this, Link] { Links.erase(Link); });
  }

  void connectionMessage(link_id Link, peer_message Message) override {
    deliver([this, Link,
             Stored = std::make_shared<peer_message>(std::move(Message))]() {
      return Listener.messageArrived(Link, *Stored);
    });
  }

  bool isCongested() const override { return !PendingEvents.empty(); }

private:
  using event_delivery = std::function<bool()>;

  /// Events are delivered in order: a refused event delays all later ones.
  void deliver(event_delivery Event) {
    if (PendingEvents.empty() && Event())
      return;
    PendingEvents.push_back(std::move(Event));
    if (PendingEvents.size() == 1)
      scheduleRedelivery();
  }

  void scheduleRedelivery() {
    RedeliveryTimer.expires_after(RedeliveryInterval);
    RedeliveryTimer.async_wait([this](const auto &Error) {
      if (!Error)
        deliverPending();
    });
  }

  void deliverPending() {
    while (!PendingEvents.empty()) {
      if (!PendingEvents.front()()) {
        scheduleRedelivery();
        return;
      }
      PendingEvents.pop_front();
    }
    for (const auto &[Link, Connection] : Links)
      Connection->resumeReading();
  }

  void scheduleTick() {
    TickTimer.expires_after(TickInterval);
    TickTimer.async_wait([this](const auto &Error) {
      if (Error)
        return;
      const auto Current = Links;
      for (const auto &[Link, Connection] : Current)
        Connection->tick();
      scheduleTick();
    });
  }

  void accept() {
    Acceptor.async_accept([this](const auto &Error, tcp::socket Socket) {
      if (Error == asio::error::operation_aborted)
        return;
      if (Error) {
        AcceptTimer.expires_after(AcceptRetryDelay);
        AcceptTimer.async_wait([this](const auto &) { accept(); });
        return;
      }
      if (Links.size() < Settings.MaxLinks)
        add(NextAccepted++, std::move(Socket), peer_session::side::Acceptor)
            ->begin();
      accept();
    });
  }

  std::shared_ptr<peer_connection> add(link_id Link, tcp::socket Socket,
                                       peer_session::side Side) {
    auto Session = std::make_unique<peer_session>(
        Side, Self, Keys, Random, Settings.Session, Clock.now());
    auto Connection = std::make_shared<peer_connection>(
        Link, std::move(Socket), std::move(Session), Clock, *this);
    Links[Link] = Connection;
    return Connection;
  }

  void executeCommands() {
    for (command &Command : Commands.takeAll(duration::zero()))
      std::visit([this](auto &Kind) { execute(Kind); }, Command);
  }

  void execute(const open_command &Open) {
    boost::system::error_code Error;
    const auto Address = asio::ip::make_address(Open.Remote.Host, Error);
    if (Error || Links.size() >= Settings.MaxLinks) {
      connectionDown(Open.Link, false);
      return;
    }
    add(Open.Link, tcp::socket(Context), peer_session::side::Dialler)
        ->dial({Address, Open.Remote.Port});
  }

  void execute(const send_command &Send) {
    if (const auto Found = Links.find(Send.Link); Found != Links.end())
      std::shared_ptr(Found->second)->send(Send.Message);
  }

  void execute(const close_command &Close) {
    if (const auto Found = Links.find(Close.Link); Found != Links.end())
      std::shared_ptr(Found->second)->close();
  }

  const peer_transport_settings Settings;
  const node_identity Self;
  const peer_key_ring Keys;
  seeded_random Random;
  const clock &Clock;
  peer_link_listener &Listener;
  asio::io_context Context;
  bounded_ring<command> Commands;
  tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  asio::steady_timer TickTimer;
  asio::steady_timer RedeliveryTimer;
  std::unordered_map<link_id, std::shared_ptr<peer_connection>> Links;
  std::deque<event_delivery> PendingEvents;
  link_id NextAccepted = FirstAcceptedLink;
  supervised_task Task;
};

peer_transport::peer_transport(peer_transport_settings Settings,
                               node_identity Self, const peer_key_ring &Keys,
                               std::uint64_t RandomSeed, const clock &Clock,
                               peer_link_listener &Listener)
    : Implementation(
          std::make_shared<implementation>(std::move(Settings), std::move(Self),
                                           Keys, RandomSeed, Clock, Listener)) {
}

peer_transport::~peer_transport() { peer_transport::stop(); }

const std::string &peer_transport::name() const {
  return Implementation->name();
}

void peer_transport::start() { Implementation->start(); }

void peer_transport::stop() { Implementation->stop(); }

void peer_transport::openLink(link_id Link, const endpoint &Remote) {
  Implementation->push(open_command{Link, Remote});
}

void peer_transport::sendOn(link_id Link, peer_message Message) {
  Implementation->push(send_command{Link, std::move(Message)});
}

void peer_transport::closeLink(link_id Link) {
  Implementation->push(close_command{Link});
}

} // namespace clementine
