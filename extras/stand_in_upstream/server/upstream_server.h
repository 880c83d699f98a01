#ifndef STAND_IN_UPSTREAM_SERVER_UPSTREAM_SERVER_H
#define STAND_IN_UPSTREAM_SERVER_UPSTREAM_SERVER_H

#include "clementine_core/random/random_source.h"
#include "stand_in_http/http_client.h"
#include "stand_in_http/http_server.h"
#include "stand_in_upstream/server/node_announcer.h"
#include "stand_in_upstream/server/run_log.h"
#include "stand_in_upstream/server/upstream_faults.h"
#include "stand_in_upstream/server/upstream_settings.h"
#include "stand_in_upstream/server/work_slots.h"

#include <atomic>
#include <deque>
#include <map>
#include <memory>

namespace clementine::stand_in {

/// A service's instance as the users' own behave: limited slots, work that
/// takes time, sub-calls through its node, a cold start, draining, shedding,
/// cancellation and deadlines.
///
/// An answer holds the request's body and the answers of all sub-calls, so that
/// its caller can check it whole. Half of the own work is done before the
/// sub-calls and half after.
class upstream_server {
public:
  /// Starts to listen and to announce itself.
  /// @throws http_server_error if the address can't be used.
  explicit upstream_server(upstream_settings Settings);
  ~upstream_server();

  upstream_server(const upstream_server &) = delete;
  upstream_server &operator=(const upstream_server &) = delete;

  /// Tells the node that this upstream leaves.
  void drain();

  /// Waits until nothing is in flight.
  /// @returns whether that came before @p Patience was over.
  bool awaitIdle(duration Timeout) const;

private:
  struct call;
  struct report {
    instant Taken;
    work_slots::usage Usage;
  };

  http_answer handle(const http_request &Request);
  http_answer handleControl(const http_request &Request);
  http_answer cancel(const std::string &Token);
  http_answer runOperation(const http_request &Request);
  http_answer runInSlot(const http_request &Request, call &Call);
  http_answer finish(const call &Call, std::string Body);
  bool workHalf(call &Call);
  bool makeSubCall(const http_request &Request, const sub_call &Target,
                   call &Call);
  duration sampleServiceTime();
  bool isCold() const;
  work_slots::usage delayedUsage();
  std::string healthJson();
  std::string loadJson();
  std::string runsJson() const;

  const upstream_settings Settings;
  const monotonic_clock Time;
  const instant Started;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Draining{false};
  std::atomic<int> InFlight{0};
  std::atomic<std::uint64_t> LateRequests{0};
  std::atomic<std::int64_t> DrainedAt{0};
  work_slots Slots;
  run_log Runs;
  upstream_switches Faults;
  http_client Client;
  std::mutex RandomMutex;
  seeded_random Random;
  std::mutex CallsMutex;
  std::multimap<std::string, call *> Calls;
  std::mutex ReportsMutex;
  std::deque<report> Reports;
  std::unique_ptr<node_announcer> Announcer;
  duty Reporter;
  std::unique_ptr<http_server> Server;
};

} // namespace clementine::stand_in

#endif
