#include "clementine_proxy/node/process_start.h"

#include <chrono>
#include <random>

#include <sys/random.h>

namespace clementine::proxy {

std::uint64_t randomSeed() {
  std::uint64_t Seed = 0;
  if (::getrandom(&Seed, sizeof(Seed), 0) != sizeof(Seed))
    return std::random_device()();
  return Seed;
}

std::uint64_t wallMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace clementine::proxy
