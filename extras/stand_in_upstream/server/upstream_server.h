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

/// Simulates an instance of a user's service: limited slots, service times,
/// sub-calls through its node, a cold start, draining, load shedding,
/// cancellation and deadlines.
///
/// An answer contains the request's body and the answers of all sub-calls, so
/// that its caller can check that it is complete. Half of the instance's own
/// work is done before the sub-calls and half after.
class upstream_server {
public:
  /// Starts to listen and to send announcements to the node.
  /// @throws http_server_error if the address can't be used.
  explicit upstream_server(upstream_settings Settings);
  ~upstream_server();

  upstream_server(const upstream_server &) = delete;
  upstream_server &operator=(const upstream_server &) = delete;

  /// Notifies the node that this upstream drains.
  void drain();

  /// Waits until no request is in flight.
  /// @returns false if requests were still in flight after @p Timeout.
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
  supervised_task Reporter;
  std::unique_ptr<http_server> Server;
};

} // namespace clementine::stand_in

#endif
