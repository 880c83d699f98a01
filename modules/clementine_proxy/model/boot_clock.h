#ifndef CLEMENTINE_PROXY_MODEL_BOOT_CLOCK_H
#define CLEMENTINE_PROXY_MODEL_BOOT_CLOCK_H

#include "clementine_core/clementine_core.h"

#include <ctime>

namespace clementine::proxy {

/// A monotonic clock that counts the time for which the VM was suspended, so
/// that deadlines do not stretch over a suspension.
class boot_clock final : public clock {
public:
  instant now() const override {
    timespec Time{};
    clock_gettime(CLOCK_BOOTTIME, &Time);
    return instant(std::chrono::seconds(Time.tv_sec) +
                   std::chrono::nanoseconds(Time.tv_nsec));
  }
};

} // namespace clementine::proxy

#endif
