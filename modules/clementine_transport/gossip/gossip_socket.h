#ifndef CLEMENTINE_TRANSPORT_GOSSIP_GOSSIP_SOCKET_H
#define CLEMENTINE_TRANSPORT_GOSSIP_GOSSIP_SOCKET_H

#include "clementine_core/clementine_core.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace clementine {

/// A datagram to be sent to another node.
struct addressed_datagram {
  endpoint To;
  std::vector<std::byte> Bytes;
};

/// Handles received datagrams and timer ticks. Called only on the socket's
/// thread.
class gossip_handler {
public:
  virtual ~gossip_handler() = default;

  /// Handles a received datagram. @returns the datagrams to send.
  virtual std::vector<addressed_datagram>
  datagramArrived(const endpoint &From, std::span<const std::byte> Bytes) = 0;

  /// Called at every tick. @returns the datagrams to send.
  virtual std::vector<addressed_datagram> onTick() = 0;
};

/// The UDP socket of the gossip protocol, served by a dedicated thread.
class gossip_socket final : public supervised {
public:
  /// @param Tick the interval between calls to gossip_handler::onTick().
  /// @param Handler must outlive the socket.
  gossip_socket(endpoint Listen, duration Tick, gossip_handler &Handler);
  ~gossip_socket() override;

  gossip_socket(const gossip_socket &) = delete;
  gossip_socket &operator=(const gossip_socket &) = delete;

  const std::string &name() const override;

  /// Binds the socket and starts the thread.
  /// @throws std::system_error if the address cannot be bound.
  void start() override;
  void stop() override;

  /// Queues @p Work to run on the socket's thread; use it to change the
  /// handler's state.
  void post(std::function<void()> Work);

private:
  class implementation;
  std::shared_ptr<implementation> Implementation;
};

} // namespace clementine

#endif
