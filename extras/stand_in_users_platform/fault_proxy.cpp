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
#include <utility>
#include <vector>

namespace clementine::stand_in {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds Delay{120};
/// How often a direction that is held back looks whether it may go on.
constexpr std::chrono::milliseconds HoldPoll{20};
constexpr std::size_t ChunkSize = 8192;

tcp::endpoint addressOf(const endpoint &Address) {
  return {asio::ip::make_address(Address.Host), Address.Port};
}

/// Closes without a goodbye: the peer sees a reset.
void abortSocket(tcp::socket &Socket) {
  boost::system::error_code Ignored; // It is given up either way.
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

using fault = fault_proxy::fault;

/// One connection from a client and the one to the target.
class proxied_pair : public std::enable_shared_from_this<proxied_pair> {
public:
  proxied_pair(tcp::socket Client, const std::atomic<fault> &Fault)
      : Towards(std::move(Client)), From(Towards.Source.get_executor()),
        Fault(Fault) {}

  void start(const tcp::endpoint &Target) {
    if (Fault == fault::Silent) {
      holdThen(Towards.Timer,
               [Self = shared_from_this(), Target] { Self->start(Target); });
      return;
    }
    From.Source.async_connect(Target,
                              [Self = shared_from_this()](const auto &Error) {
                                if (Error || Self->IsClosed)
                                  return Self->close();
                                Self->pump(Self->Towards, Self->From);
                                Self->pump(Self->From, Self->Towards);
                              });
  }

  void close() {
    IsClosed = true;
    abortSocket(Towards.Source);
    abortSocket(From.Source);
  }

  void mute() { IsMuted = true; }
  bool isClosed() const { return IsClosed; }

private:
  /// The bytes that come out of one socket.
  struct direction {
    explicit direction(tcp::socket Socket)
        : Source(std::move(Socket)), Timer(Source.get_executor()) {}
    explicit direction(const tcp::socket::executor_type &Executor)
        : Source(Executor), Timer(Executor) {}

    tcp::socket Source;
    asio::steady_timer Timer;
    std::array<char, ChunkSize> Chunk;
  };

  bool isHeld(const direction &Bytes) const {
    if (IsMuted || Fault == fault::Silent)
      return true;
    return &Bytes == &Towards ? Fault == fault::CutTowardsTarget
                              : Fault == fault::CutFromTarget;
  }

  template <class Action>
  void holdThen(asio::steady_timer &Timer, Action Next) {
    Timer.expires_after(HoldPoll);
    Timer.async_wait([Self = shared_from_this(), Next](const auto &Error) {
      if (!Error && !Self->IsClosed)
        Next();
    });
  }

  void pump(direction &Bytes, direction &Sink) {
    Bytes.Source.async_read_some(
        asio::buffer(Bytes.Chunk), [Self = shared_from_this(), &Bytes, &Sink](
                                       const auto &Error, std::size_t Count) {
          if (Self->IsClosed)
            return;
          if (Error)
            return Self->ended(Bytes, Sink);
          Self->pass(Bytes, Sink, Count, Self->Fault == fault::Delayed);
        });
  }

  void pass(direction &Bytes, direction &Sink, std::size_t Count, bool IsLate) {
    if (isHeld(Bytes))
      return holdThen(Bytes.Timer, [this, &Bytes, &Sink, Count] {
        pass(Bytes, Sink, Count, false);
      });
    if (IsLate) {
      Bytes.Timer.expires_after(Delay);
      return Bytes.Timer.async_wait(
          [Self = shared_from_this(), &Bytes, &Sink, Count](const auto &Error) {
            if (!Error && !Self->IsClosed)
              Self->pass(Bytes, Sink, Count, false);
          });
    }
    asio::async_write(Sink.Source, asio::buffer(Bytes.Chunk.data(), Count),
                      [Self = shared_from_this(), &Bytes,
                       &Sink](const auto &Error, std::size_t /*Count*/) {
                        if (Error)
                          return Self->close();
                        Self->pump(Bytes, Sink);
                      });
  }

  /// The sender has closed its side, after all its bytes.
  void ended(direction &Bytes, direction &Sink) {
    if (isHeld(Bytes))
      return holdThen(Bytes.Timer,
                      [this, &Bytes, &Sink] { ended(Bytes, Sink); });
    boost::system::error_code Ignored; // Both ends are closed next.
    Sink.Source.shutdown(tcp::socket::shutdown_send, Ignored);
    if (std::exchange(HasHalfEnded, true))
      close();
  }

  direction Towards;
  direction From;
  const std::atomic<fault> &Fault;
  bool IsMuted = false;
  bool IsClosed = false;
  bool HasHalfEnded = false;
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

  void forEachPair(const std::function<void(proxied_pair &)> &Action) {
    asio::post(Loop, [this, Action] {
      for (const auto &Each : Pairs)
        if (const auto Pair = Each.lock())
          Action(*Pair);
    });
  }

  std::atomic<fault> Fault{fault::None};

private:
  void accept() {
    Acceptor.async_accept([this](const auto &Error, tcp::socket Client) {
      if (!Error) {
        std::erase_if(Pairs, [](const auto &Each) { return Each.expired(); });
        auto Pair = std::make_shared<proxied_pair>(std::move(Client), Fault);
        Pairs.push_back(Pair);
        Pair->start(Target);
      }
      if (Acceptor.is_open())
        accept();
    });
  }

  const tcp::endpoint Target;
  asio::io_context Loop;
  tcp::acceptor Acceptor;
  std::vector<std::weak_ptr<proxied_pair>> Pairs;
  std::thread Runner;
};

fault_proxy::fault_proxy(const endpoint &Listen, const endpoint &Target)
    : Implementation(std::make_unique<implementation>(Listen, Target)) {}

fault_proxy::~fault_proxy() = default;

void fault_proxy::set(fault Kind) { Implementation->Fault = Kind; }

void fault_proxy::reset() {
  Implementation->forEachPair([](proxied_pair &Pair) { Pair.close(); });
}

void fault_proxy::blackholeOpen() {
  Implementation->forEachPair([](proxied_pair &Pair) { Pair.mute(); });
}

} // namespace clementine::stand_in
