#ifndef CLEMENTINE_SOAK_SOAK_H
#define CLEMENTINE_SOAK_SOAK_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace clementine::soak {

/// What a soak does.
struct soak_settings {
  std::uint64_t Seed = 1;
  /// How long faults are injected.
  std::chrono::seconds Span{20};
  unsigned Zones = 3;
  unsigned Clients = 6;
  /// The first three numbers of every address, so that two soaks can run.
  std::string Network = "127.0.12.";
  /// Where the logs of a failed run are kept, if anywhere.
  std::string KeepLogs;
};

/// Runs node processes, callers, instances and a store, injects faults, and
/// judges what callers and instances saw. When the faults are over, everything
/// has to work again, and the processes have to stop in order.
/// @returns the promises that were broken; empty if all held.
std::vector<std::string> runSoak(const soak_settings &Settings);

} // namespace clementine::soak

#endif
