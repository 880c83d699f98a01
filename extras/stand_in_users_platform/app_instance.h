#ifndef STAND_IN_USERS_PLATFORM_APP_INSTANCE_H
#define STAND_IN_USERS_PLATFORM_APP_INSTANCE_H

#include "clementine_core/clementine_core.h"
#include "stand_in_http/http_client.h"
#include "stand_in_http/http_server.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace clementine::stand_in {

/// A call that an instance makes while it runs a request.
struct instance_sub_call {
  std::string Host;
  /// The start of the path, with a slash at its end.
  std::string Prefix;
};

/// Settings of an app_instance.
struct app_instance_settings {
  std::string Id;
  std::string Service;
  std::string Zone;
  endpoint Listen;
  /// The address that it reports to its node.
  endpoint Address;
  /// Where the node on the same VM accepts requests and reports.
  endpoint Outbound;
  endpoint Control;
  std::int64_t StartedAt = 1;
  unsigned Slots = 8;
  duration ServiceTime = std::chrono::milliseconds(5);
  std::vector<instance_sub_call> Calls;
};

/// Counts the requests that the instances of a test have run. Thread-safe.
class run_counts {
public:
  void add(const std::string &RequestId, const std::string &Method,
           const std::string &Instance);
  /// @returns how often the request was run.
  int of(const std::string &RequestId) const;
  /// @returns how many requests an instance has run.
  int by(const std::string &Instance) const;
  /// @param Method counts only requests of this method; all if it is empty.
  /// @returns the requests that were run more than once.
  std::set<std::string> repeated(const std::string &Method = "") const;

private:
  mutable std::mutex Mutex;
  struct request_runs {
    std::string Method;
    int Count = 0;
  };
  std::map<std::string, request_runs> Requests;
  std::map<std::string, int> Instances;
};

/// A stand-in for an application instance on the users' platform: it reports to
/// its node, runs requests in slots, makes calls through its node and drains.
class app_instance {
public:
  app_instance(app_instance_settings Settings, run_counts &Runs);
  ~app_instance();

  app_instance(const app_instance &) = delete;
  app_instance &operator=(const app_instance &) = delete;

  /// Reports to the node that the instance is draining.
  /// @returns whether the node has confirmed.
  bool drain();

  /// Sends no further report and deregisters; serves on.
  /// @returns whether the node has confirmed.
  bool deregister();

  /// Stops the periodic reports.
  void pauseReports() { ReportsPaused = true; }
  /// Sends a report from before any draining, as if it had been delayed.
  /// @param Number of the report; reports are numbered from 1 on.
  /// @returns whether the node has confirmed.
  bool sendStaleReadyReport(std::uint64_t Number = 1) {
    return report("ready", Number);
  }

  const std::string &id() const { return Settings.Id; }

  /// Sets how long the runs that begin from now on take.
  void setServiceTime(std::chrono::milliseconds Time) { ServiceTime = Time; }

  /// Names a limit in requests per second in all its responses, or none any
  /// more.
  void nameLimit(std::optional<double> PerSecond);
  /// Says in all its responses that it is leaving, and nothing in its reports.
  void sayLeaving() { SaysLeaving = true; }

  /// Cuts off the responses to the next @p Count runs.
  void loseAnswers(int Count) { LostAnswers = Count; }

private:
  http_answer handle(const http_request &Request);
  http_answer answerTo(const http_request &Request);
  bool makeSubCalls(const http_request &Request);
  bool report();
  bool report(const char *State, std::uint64_t Number);
  /// Makes a call of the instances' interface.
  /// @returns whether the node has confirmed.
  bool callNode(const std::string &Call, const std::string &Body);
  void sendReportsUntilStopped();

  const app_instance_settings Settings;
  run_counts &Runs;
  std::atomic<std::chrono::milliseconds> ServiceTime;
  std::atomic<bool> IsDraining{false};
  std::atomic<bool> ReportsPaused{false};
  std::atomic<bool> SaysLeaving{false};
  std::atomic<int> LostAnswers{0};
  std::atomic<unsigned> SlotsInUse{0};
  std::atomic<std::uint64_t> Sequence{0};
  std::atomic<std::uint64_t> LastCall{0};
  http_client Client;
  /// Guards NamedLimit and Stopping.
  std::mutex Mutex;
  std::optional<double> NamedLimit;
  std::condition_variable Changed;
  bool Stopping = false;
  std::unique_ptr<http_server> Server;
  std::thread Reporter;
};

} // namespace clementine::stand_in

#endif
