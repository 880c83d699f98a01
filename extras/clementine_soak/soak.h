#ifndef CLEMENTINE_SOAK_SOAK_H
#define CLEMENTINE_SOAK_SOAK_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace clementine::soak {

/// The settings of one soak run.
struct soak_settings {
  std::uint64_t Seed = 1;
  /// The time for which faults are injected.
  std::chrono::seconds Duration{20};
  unsigned Zones = 3;
  unsigned Clients = 6;
  /// The first three octets of every address. Soaks that run at the same time
  /// need different ones.
  std::string Network = "127.0.12.";
  /// The folder for the logs of a failed run; empty to discard them.
  std::string KeepLogs;
};

/// Runs node processes, callers, instances and a store, injects faults, and
/// checks the results that callers and instances observe. After the last fault
/// every service has to recover, and no process may have exited unexpectedly.
/// @returns one line per violated guarantee; empty if all were met.
std::vector<std::string> runSoak(const soak_settings &Settings);

} // namespace clementine::soak

#endif
