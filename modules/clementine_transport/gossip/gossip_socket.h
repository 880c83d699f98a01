#ifndef CLEMENTINE_TRANSPORT_GOSSIP_GOSSIP_SOCKET_H
#define CLEMENTINE_TRANSPORT_GOSSIP_GOSSIP_SOCKET_H

#include "clementine_core/clementine_core.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace clementine {

/// A datagram on its way to another node.
struct addressed_datagram {
  endpoint To;
  std::vector<std::byte> Bytes;
};

/// What answers the datagrams and the passing of time. Called on the socket's
/// thread only.
class gossip_handler {
public:
  virtual ~gossip_handler() = default;

  /// Takes a datagram. @returns what to send now.
  virtual std::vector<addressed_datagram>
  datagramArrived(const endpoint &From, std::span<const std::byte> Bytes) = 0;

  /// Takes the passing of time. @returns what to send now.
  virtual std::vector<addressed_datagram> onTick() = 0;
};

/// The UDP socket of the gossip, on a thread of its own.
class gossip_socket final : public supervised {
public:
  /// @param Tick how often the handler hears of the time.
  /// @param Handler has to outlive the socket.
  gossip_socket(endpoint Listen, duration Tick, gossip_handler &Handler);
  ~gossip_socket() override;

  gossip_socket(const gossip_socket &) = delete;
  gossip_socket &operator=(const gossip_socket &) = delete;

  const std::string &name() const override;

  /// Binds the socket and starts the thread.
  /// @throws std::system_error when the address cannot be bound.
  void start() override;
  void stop() override;

  /// Runs @p Work soon on the socket's thread; for what changes the handler.
  void post(std::function<void()> Work);

private:
  class implementation;
  std::shared_ptr<implementation> Implementation;
};

} // namespace clementine

#endif
