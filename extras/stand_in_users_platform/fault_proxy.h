#ifndef STAND_IN_USERS_PLATFORM_FAULT_PROXY_H
#define STAND_IN_USERS_PLATFORM_FAULT_PROXY_H

#include "clementine_core/clementine_core.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace clementine::stand_in {

/// A TCP proxy on loopback that harms the connections through it.
///
/// What it holds back is delivered once the fault is over, in order, as a
/// network does; only a reset loses bytes. Runs a thread of its own.
class fault_proxy {
public:
  /// What happens to the bytes of every connection.
  enum class fault : std::uint8_t {
    None,
    /// Each piece comes late.
    Delayed,
    /// Nothing passes towards the target; its own bytes do.
    CutTowardsTarget,
    /// Nothing comes back from the target.
    CutFromTarget,
    /// Nothing passes, and new connections lead nowhere.
    Silent,
  };

  /// @throws boost::system::system_error when @p Listen cannot be bound.
  fault_proxy(const endpoint &Listen, const endpoint &Target);
  ~fault_proxy();

  fault_proxy(const fault_proxy &) = delete;
  fault_proxy &operator=(const fault_proxy &) = delete;

  /// Puts a fault in force, or ends it.
  void set(fault Kind);
  /// Resets all open connections.
  void reset();
  /// Silences all open connections for good; new ones work.
  void blackholeOpen();

private:
  class implementation;

  std::unique_ptr<implementation> Implementation;
};

} // namespace clementine::stand_in

#endif
