#include "clementine_proxy/node/repeating_timer.h"

#include <exception>
#include <utility>

namespace clementine::proxy {

repeating_timer::repeating_timer(boost::asio::io_context &Loop,
                                 metrics_registry &Metrics, std::string Name,
                                 duration Interval, std::function<void()> Work)
    : Name(std::move(Name)), Interval(Interval), Work(std::move(Work)),
      Faults(Metrics.counterFor("clementine_timer_faults_total",
                                "Runs of a timer that ended by an exception.",
                                {{"timer", this->Name}})),
      Timer(Loop) {}

void repeating_timer::run() {
  arm();
  try {
    Work();
  } catch (const std::exception &Fault) {
    Faults.add();
    logger("node").error("run of a timer ended by an exception",
                         {{"timer", Name}, {"reason", Fault.what()}});
  }
}

void repeating_timer::arm() {
  Timer.expires_after(Interval);
  Timer.async_wait([this](const auto &Error) {
    if (!Error)
      run();
  });
}

} // namespace clementine::proxy
