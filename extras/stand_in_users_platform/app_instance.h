#ifndef STAND_IN_USERS_PLATFORM_APP_INSTANCE_H
#define STAND_IN_USERS_PLATFORM_APP_INSTANCE_H

#include "clementine_core/clementine_core.h"
#include "stand_in_http/http_client.h"
#include "stand_in_http/http_server.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace clementine::stand_in {

/// A call that an instance makes while it runs a request.
struct instance_sub_call {
  std::string Host;
  /// Path with its slash at the end.
  std::string Prefix;
};

/// How an app_instance works.
struct app_instance_settings {
  std::string Id;
  std::string Service;
  std::string Zone;
  endpoint Listen;
  /// Where it says that it can be reached.
  endpoint Address;
  /// Where the node beside it takes requests and reports.
  endpoint Outbound;
  endpoint Control;
  std::int64_t StartedAt = 1;
  unsigned Slots = 8;
  duration ServiceTime = std::chrono::milliseconds(5);
  std::vector<instance_sub_call> Calls;
};

/// Counts what all instances of a test have run; shared by them.
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

/// An application's instance on the users' platform: reports to its node, runs
/// requests in slots, makes calls through its node and drains.
class app_instance {
public:
  app_instance(app_instance_settings Settings, run_counts &Runs);
  ~app_instance();

  app_instance(const app_instance &) = delete;
  app_instance &operator=(const app_instance &) = delete;

  /// Says that it drains.
  /// @returns whether the node has confirmed.
  bool drain();

  /// Sends no more reports on its own.
  void holdReports() { HoldsReports = true; }
  /// Sends a report from before any draining, as if it came late.
  /// @returns whether the node has confirmed.
  bool repeatReadyReport() { return report("ready", 1); }

  const std::string &id() const { return Settings.Id; }

  /// Loses the answers of the next runs.
  void loseAnswers(int Count) { LostAnswers = Count; }

private:
  http_answer handle(const http_request &Request);
  bool callOthers(const http_request &Request);
  bool report();
  bool report(const char *State, std::uint64_t Number);
  void reportUntilStopped();

  const app_instance_settings Settings;
  run_counts &Runs;
  std::atomic<bool> IsDraining{false};
  std::atomic<bool> HoldsReports{false};
  std::atomic<int> LostAnswers{0};
  std::atomic<unsigned> Busy{0};
  std::atomic<std::uint64_t> Sequence{0};
  std::atomic<std::uint64_t> LastCall{0};
  http_client Client;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  std::unique_ptr<http_server> Server;
  std::thread Reporter;
};

} // namespace clementine::stand_in

#endif
