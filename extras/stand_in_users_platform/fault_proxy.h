#ifndef STAND_IN_USERS_PLATFORM_FAULT_PROXY_H
#define STAND_IN_USERS_PLATFORM_FAULT_PROXY_H

#include "clementine_core/clementine_core.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace clementine::stand_in {

/// A TCP proxy on loopback that injects faults into its connections.
///
/// Bytes that it holds back are delivered in order once the fault is over, as
/// on a network; only a reset loses bytes. Runs its own thread.
class fault_proxy {
public:
  /// What happens to the bytes of every connection.
  enum class fault : std::uint8_t {
    None,
    /// Each chunk is forwarded after a delay.
    Delayed,
    /// Bytes to the target are held back; those from it are forwarded.
    CutTowardsTarget,
    /// Bytes from the target are held back; those to it are forwarded.
    CutFromTarget,
    /// All bytes are held back, and new connections are not connected to the
    /// target until the fault is over.
    Silent,
  };

  /// @throws boost::system::system_error when @p Listen cannot be bound.
  fault_proxy(const endpoint &Listen, const endpoint &Target);
  ~fault_proxy();

  fault_proxy(const fault_proxy &) = delete;
  fault_proxy &operator=(const fault_proxy &) = delete;

  /// Sets the fault for all connections; fault::None ends it.
  void set(fault Kind);
  /// Resets all open connections.
  void reset();
  /// Makes the open connections silent for good, without a reset: nothing is
  /// forwarded or acknowledged any more. New connections work.
  void blackholeOpen();

private:
  class implementation;

  std::unique_ptr<implementation> Implementation;
};

} // namespace clementine::stand_in

#endif
