#ifndef CLEMENTINE_SOAK_SOAK_FINDINGS_H
#define CLEMENTINE_SOAK_SOAK_FINDINGS_H

#include <cstdio>
#include <mutex>
#include <string>
#include <vector>

namespace clementine::soak {

/// The violations that a soak has found. Safe to use from any thread.
class soak_findings {
public:
  /// @param Guarantee the short name of the violated guarantee.
  void add(const std::string &Guarantee, const std::string &Detail) {
    const std::lock_guard Lock(Mutex);
    Lines.push_back(Guarantee + ": " + Detail);
    std::printf("VIOLATED %s\n", Lines.back().c_str());
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
