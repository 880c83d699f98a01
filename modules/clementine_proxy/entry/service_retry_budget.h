#ifndef CLEMENTINE_PROXY_ENTRY_SERVICE_RETRY_BUDGET_H
#define CLEMENTINE_PROXY_ENTRY_SERVICE_RETRY_BUDGET_H

#include "clementine_core/clementine_core.h"

#include <deque>

namespace clementine::proxy {

/// Limits on the retries that a node sends to one service.
struct service_retry_budget_settings {
  /// The sliding window over which requests and retries are counted.
  duration Window = std::chrono::seconds(10);
  /// Retries allowed per first attempt of this node in the window.
  double Ratio = 0.1;
  /// Retries allowed in any window in addition to the ratio.
  std::size_t Allowance = 1;

  bool operator==(const service_retry_budget_settings &) const = default;
};

/// Limits the retries that one node sends to a service.
///
/// The limit for the whole deployment is a share of all requests. Each node
/// applies a smaller share to its own requests, so that the total holds without
/// coordination between nodes.
class service_retry_budget {
public:
  explicit service_retry_budget(service_retry_budget_settings Settings)
      : Settings(Settings) {}

  /// Counts the first attempt of a request.
  void recordRequest(instant Now) {
    evictExpired(Now);
    Requests.push_back(Now);
  }

  /// Consumes one retry if the budget allows it.
  /// @returns whether the retry may be sent.
  bool tryAcquire(instant Now) {
    evictExpired(Now);
    const double Allowed =
        Settings.Ratio * static_cast<double>(Requests.size()) +
        static_cast<double>(Settings.Allowance);
    if (static_cast<double>(Retries.size()) + 1.0 > Allowed)
      return false;
    Retries.push_back(Now);
    return true;
  }

private:
  void evictExpired(instant Now) {
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
