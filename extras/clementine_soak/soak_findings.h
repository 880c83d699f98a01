#ifndef CLEMENTINE_SOAK_SOAK_FINDINGS_H
#define CLEMENTINE_SOAK_SOAK_FINDINGS_H

#include <cstdio>
#include <mutex>
#include <string>
#include <vector>

namespace clementine::soak {

/// What a soak has found wrong; any thread may add.
class soak_findings {
public:
  /// @param Promise the short name of the promise that was broken.
  void add(const std::string &Promise, const std::string &Detail) {
    const std::lock_guard Lock(Mutex);
    Lines.push_back(Promise + ": " + Detail);
    std::printf("BROKEN %s\n", Lines.back().c_str());
    std::fflush(stdout);
  }

  std::vector<std::string> lines() const {
    const std::lock_guard Lock(Mutex);
    return Lines;
  }

private:
  mutable std::mutex Mutex;
  std::vector<std::string> Lines;
};

} // namespace clementine::soak

#endif
