#include "clementine_proxy/node/repeating_timer.h"

#include <utility>

namespace clementine::proxy {

repeating_timer::repeating_timer(boost::asio::io_context &Loop,
                                 fault_guard &Faults, std::string Name,
                                 duration Interval, std::function<void()> Work)
    : Name(std::move(Name)), Interval(Interval), Work(std::move(Work)),
      Faults(Faults), Timer(Loop) {}

void repeating_timer::run() {
  arm();
  Faults.run(Name, "", Work);
}

void repeating_timer::arm() {
  Timer.expires_after(Interval);
  Timer.async_wait([this](const auto &Error) {
    if (!Error)
      run();
  });
}

} // namespace clementine::proxy
