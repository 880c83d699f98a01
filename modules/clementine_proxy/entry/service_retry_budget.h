#ifndef CLEMENTINE_PROXY_ENTRY_SERVICE_RETRY_BUDGET_H
#define CLEMENTINE_PROXY_ENTRY_SERVICE_RETRY_BUDGET_H

#include "clementine_core/clementine_core.h"

#include <deque>

namespace clementine::proxy {

/// How much a node may repeat towards one service.
struct service_retry_budget_settings {
  /// The span over which requests and repeats are counted.
  duration Window = std::chrono::seconds(10);
  /// Repeats for each request of this node in the window.
  double Ratio = 0.1;
  /// Repeats that are allowed beside the ratio in any window.
  std::size_t Allowance = 1;

  bool operator==(const service_retry_budget_settings &) const = default;
};

/// Bounds what one node sends to a service beyond the first time.
///
/// The bound of the whole fleet is a share of all requests; each node keeps to
/// a smaller share of its own, so that the sum holds without an exchange.
class service_retry_budget {
public:
  explicit service_retry_budget(service_retry_budget_settings Settings)
      : Settings(Settings) {}

  /// Counts a request that is sent for the first time.
  void request(instant Now) {
    forget(Now);
    Requests.push_back(Now);
  }

  /// Takes a repeat out of the budget.
  /// @returns whether there was one left.
  bool take(instant Now) {
    forget(Now);
    const double Allowed =
        Settings.Ratio * static_cast<double>(Requests.size()) +
        static_cast<double>(Settings.Allowance);
    if (static_cast<double>(Retries.size()) + 1.0 > Allowed)
      return false;
    Retries.push_back(Now);
    return true;
  }

private:
  void forget(instant Now) {
    const instant Oldest = Now - Settings.Window;
    for (auto *Times : {&Requests, &Retries})
      while (!Times->empty() && Times->front() < Oldest)
        Times->pop_front();
  }

  const service_retry_budget_settings Settings;
  std::deque<instant> Requests;
  std::deque<instant> Retries;
};

} // namespace clementine::proxy

#endif
