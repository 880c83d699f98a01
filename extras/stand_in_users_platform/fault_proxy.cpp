#include "stand_in_users_platform/fault_proxy.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <memory>
#include <stdexcept>
#include <utility>
#include <vector>

#include <linux/filter.h>
#include <sys/socket.h>

namespace clementine::stand_in {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds Delay{120};
/// How often a held-back direction checks whether it may continue.
constexpr std::chrono::milliseconds HoldPoll{20};
constexpr std::size_t ChunkSize = 8192;

tcp::endpoint addressOf(const endpoint &Address) {
  return {asio::ip::make_address(Address.Host), Address.Port};
}

/// Closes abruptly: the peer sees a connection reset.
void abortSocket(tcp::socket &Socket) {
  boost::system::error_code Ignored; // The socket is discarded in any case.
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

/// Drops all that arrives at a socket before the kernel acknowledges it, so
/// that the peer's keep-alive probes get no answer either.
void dropReceivedSegments(tcp::socket &Socket) {
  if (!Socket.is_open())
    return;
  sock_filter DropAll{BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog Program{1, &DropAll};
  if (::setsockopt(Socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER,
                   &Program, sizeof(Program)) != 0)
    throw std::logic_error("stand-in proxy cannot silence a connection");
}

using fault = fault_proxy::fault;

/// A connection from a client and the matching one to the target.
class proxied_connection
    : public std::enable_shared_from_this<proxied_connection> {
public:
  proxied_connection(tcp::socket Client, const std::atomic<fault> &Fault)
      : ToTarget(std::move(Client)), FromTarget(ToTarget.Source.get_executor()),
        Fault(Fault) {}

  void start(const tcp::endpoint &Target) {
    if (Fault == fault::Silent) {
      pollThen(ToTarget.Timer,
               [Self = shared_from_this(), Target] { Self->start(Target); });
      return;
    }
    FromTarget.Source.async_connect(
        Target, [Self = shared_from_this()](const auto &Error) {
          if (Error || Self->IsClosed)
            return Self->close();
          Self->pump(Self->ToTarget, Self->FromTarget);
          Self->pump(Self->FromTarget, Self->ToTarget);
        });
  }

  void close() {
    IsClosed = true;
    abortSocket(ToTarget.Source);
    abortSocket(FromTarget.Source);
  }

  void blackhole() {
    IsBlackholed = true;
    for (direction *Each : {&ToTarget, &FromTarget})
      dropReceivedSegments(Each->Source);
  }
  bool isClosed() const { return IsClosed; }

private:
  /// The bytes read from one socket, which are written to the other one.
  struct direction {
    explicit direction(tcp::socket Socket)
        : Source(std::move(Socket)), Timer(Source.get_executor()) {}
    explicit direction(const tcp::socket::executor_type &Executor)
        : Source(Executor), Timer(Executor) {}

    tcp::socket Source;
    asio::steady_timer Timer;
    std::array<char, ChunkSize> Chunk;
  };

  bool isHeld(const direction &Origin) const {
    if (IsBlackholed || Fault == fault::Silent)
      return true;
    return &Origin == &ToTarget ? Fault == fault::CutTowardsTarget
                                : Fault == fault::CutFromTarget;
  }

  template <class Action>
  void pollThen(asio::steady_timer &Timer, Action Next) {
    Timer.expires_after(HoldPoll);
    Timer.async_wait([Self = shared_from_this(), Next](const auto &Error) {
      if (!Error && !Self->IsClosed)
        Next();
    });
  }

  void pump(direction &Origin, direction &Sink) {
    Origin.Source.async_read_some(
        asio::buffer(Origin.Chunk), [Self = shared_from_this(), &Origin, &Sink](
                                        const auto &Error, std::size_t Count) {
          if (Self->IsClosed)
            return;
          if (Error)
            return Self->handleEndOfStream(Origin, Sink);
          Self->forward(Origin, Sink, Count, Self->Fault == fault::Delayed);
        });
  }

  void forward(direction &Origin, direction &Sink, std::size_t Count,
               bool IsDelayed) {
    if (isHeld(Origin))
      return pollThen(Origin.Timer, [this, &Origin, &Sink, Count] {
        forward(Origin, Sink, Count, false);
      });
    if (IsDelayed) {
      Origin.Timer.expires_after(Delay);
      return Origin.Timer.async_wait([Self = shared_from_this(), &Origin, &Sink,
                                      Count](const auto &Error) {
        if (!Error && !Self->IsClosed)
          Self->forward(Origin, Sink, Count, false);
      });
    }
    asio::async_write(Sink.Source, asio::buffer(Origin.Chunk.data(), Count),
                      [Self = shared_from_this(), &Origin,
                       &Sink](const auto &Error, std::size_t /*Count*/) {
                        if (Error)
                          return Self->close();
                        Self->pump(Origin, Sink);
                      });
  }

  /// Called when a sender has closed its side and its bytes are forwarded.
  void handleEndOfStream(direction &Origin, direction &Sink) {
    if (isHeld(Origin))
      return pollThen(Origin.Timer, [this, &Origin, &Sink] {
        handleEndOfStream(Origin, Sink);
      });
    boost::system::error_code Ignored; // Both sockets are closed next.
    Sink.Source.shutdown(tcp::socket::shutdown_send, Ignored);
    if (std::exchange(IsHalfClosed, true))
      close();
  }

  direction ToTarget;
  direction FromTarget;
  const std::atomic<fault> &Fault;
  bool IsBlackholed = false;
  bool IsClosed = false;
  bool IsHalfClosed = false;
};

} // namespace

class fault_proxy::implementation {
public:
  implementation(const endpoint &Listen, const endpoint &Target)
      : Target(addressOf(Target)), Acceptor(Loop, addressOf(Listen)) {
    accept();
    Runner = std::thread([this] { Loop.run(); });
  }

  ~implementation() {
    Loop.stop();
    Runner.join();
  }

  void
  forEachConnection(const std::function<void(proxied_connection &)> &Action) {
    asio::post(Loop, [this, Action] {
      for (const auto &Each : Connections)
        if (const auto Connection = Each.lock())
          Action(*Connection);
    });
  }

  std::atomic<fault> Fault{fault::None};

private:
  void accept() {
    Acceptor.async_accept([this](const auto &Error, tcp::socket Client) {
      if (!Error) {
        std::erase_if(Connections,
                      [](const auto &Each) { return Each.expired(); });
        auto Connection =
            std::make_shared<proxied_connection>(std::move(Client), Fault);
        Connections.push_back(Connection);
        Connection->start(Target);
      }
      if (Acceptor.is_open())
        accept();
    });
  }

  const tcp::endpoint Target;
  asio::io_context Loop;
  tcp::acceptor Acceptor;
  std::vector<std::weak_ptr<proxied_connection>> Connections;
  std::thread Runner;
};

fault_proxy::fault_proxy(const endpoint &Listen, const endpoint &Target)
    : Implementation(std::make_unique<implementation>(Listen, Target)) {}

fault_proxy::~fault_proxy() = default;

void fault_proxy::set(fault Kind) { Implementation->Fault = Kind; }

void fault_proxy::reset() {
  Implementation->forEachConnection(
      [](proxied_connection &Connection) { Connection.close(); });
}

void fault_proxy::blackholeOpen() {
  Implementation->forEachConnection(
      [](proxied_connection &Connection) { Connection.blackhole(); });
}

} // namespace clementine::stand_in
