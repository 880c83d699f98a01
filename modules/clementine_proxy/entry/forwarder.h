#ifndef CLEMENTINE_PROXY_ENTRY_FORWARDER_H
#define CLEMENTINE_PROXY_ENTRY_FORWARDER_H

#include "clementine_proxy/entry/instance_directory.h"
#include "clementine_proxy/entry/service_retry_budget.h"
#include "clementine_proxy/http/header_names.h"
#include "clementine_proxy/model/routing_config.h"
#include "clementine_proxy/peers/peer_messages.h"

#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementine::proxy {

/// Identifies a caller's request within this process.
using call_number = std::uint64_t;

/// Times and limits of a forwarder.
struct forwarder_settings {
  std::string OwnNode;
  /// The service of this node's instance, set as CallerService header on each
  /// request.
  std::string OwnService;
  service_retry_budget_settings Retries;
  /// The maximum number of gates to which one request is offered.
  std::size_t MaxOffers = 3;
  /// How long to wait for the result of an attempt after cancelling it.
  duration CancelGrace = std::chrono::milliseconds(80);
  /// The value of the Retry-After header of 503 responses.
  duration RetryAfter = std::chrono::milliseconds(300);
  /// The start of this process, higher than that of the node's earlier ones.
  std::uint64_t Incarnation = 0;
  /// How long after its arrival a request may wait for an available instance.
  duration MaxParkingTime = std::chrono::milliseconds(100);
  /// The interval at which a waiting request looks for an instance again.
  duration ParkingPollInterval = std::chrono::milliseconds(20);
};

/// Sends the messages and responses of a forwarder.
class forward_port {
public:
  virtual ~forward_port() = default;

  /// Opens a link to a gate unless one is open or being opened.
  /// @returns whether the link is up.
  virtual bool openLink(const node_record &Gate) = 0;
  virtual void send(const std::string &Node, peer_message Message) = 0;
  /// Sends the final response to a caller; called once for each call.
  virtual void answer(call_number Call, response Response) = 0;
};

/// Forwards each request of a caller to one gate after another until it has a
/// final response. Performs no I/O.
///
/// A status that guarantees that the request has not run is returned only if no
/// attempt was sent, or if every attempt was confirmed as not run.
class forwarder {
public:
  forwarder(forwarder_settings Settings, const header_names &Names,
            instance_directory &Directory, forward_port &Port,
            random_source &Random);
  ~forwarder();

  forwarder(const forwarder &) = delete;
  forwarder &operator=(const forwarder &) = delete;

  /// Applies a configuration if its version is higher than the current one.
  /// @returns whether it was applied.
  bool setConfig(std::shared_ptr<const routing_config> Config);
  std::uint64_t configVersion() const {
    return Routes ? Routes->config().Version : 0;
  }
  /// @returns the current configuration, or null.
  std::shared_ptr<const routing_config> config() const {
    return Routes ? Routes->shared() : nullptr;
  }

  /// Starts a request; forward_port::answer() is called once for it unless the
  /// caller disconnects.
  void begin(call_number Call, request Request, instant Now);
  /// Ends a call whose caller has disconnected, and cancels its attempt.
  void callerDisconnected(call_number Call, instant Now);

  /// Refuses the requests that begin at @p Time or later: the process ends
  /// before they could finish.
  void refuseFrom(instant Time) { RefusesFrom = Time; }

  /// Offers no request to a gate any more and cancels the attempts at work: the
  /// process ends. A request is answered once its gate has reported, or after
  /// forwarder_settings::CancelGrace.
  void cancelAll(instant Now);

  /// Answers every request that has no response yet, without waiting for its
  /// gate.
  void answerAll(instant Now);

  void handleReport(const std::string &Node, run_report Report, instant Now);
  void linkUp(const std::string &Node, std::uint64_t Incarnation, instant Now);
  void linkDown(const std::string &Node, bool WasUp, instant Now);

  /// Handles a link on which an expected message is overdue: idempotent
  /// requests are retried at another gate, within the retry budget; others keep
  /// waiting.
  void linkUnresponsive(const std::string &Node, instant Now);

  /// Reopens the links to all gates to which attempts were sent that have not
  /// ended.
  void reopenLinks();

  void passTime(instant Now);
  std::optional<instant> nextWake() const;

  std::size_t active() const { return Calls.size(); }

private:
  struct attempt {
    attempt_id Id;
    std::string Node;
    /// The incarnation of the node to which it was sent; 0 while it waits for
    /// the link.
    std::uint64_t Incarnation = 0;
    /// Its number among the attempts that were sent; 0 until it is sent.
    std::uint64_t Number = 0;
    bool IsSent = false;
    bool IsCancelled = false;
  };
  struct call {
    call_number Number = 0;
    std::string RequestId;
    request Request;
    /// The configuration by which the request was routed.
    std::shared_ptr<const route_table> Routes;
    const route *Route = nullptr;
    std::string Service;
    instant ArrivedAt;
    instant TimeoutAt;
    std::optional<attempt> Attempt;
    std::vector<std::string> Tried;
    std::uint32_t InstancesReached = 0;
    std::size_t Offers = 0;
    /// Whether an earlier attempt may have run on an instance.
    bool MayHaveRun = false;
    run_cause LastCause = run_cause::None;
    /// The time for which the call is registered in Wakes.
    instant WakeAt;
  };
  using call_pointer = std::shared_ptr<call>;

  void tryNextGate(const call_pointer &Call, instant Now);
  void sendAttempt(call &Call, instant Now);
  attempt_origin originOf(const attempt &Attempt) const;
  void attemptEnded(const call_pointer &Call, run_report &Report, instant Now);
  void closeAttempt(call &Call, const run_report &Report, instant Now);
  void resumeAttempt(const call_pointer &Call, std::uint64_t Incarnation,
                     instant Now);
  bool mayRetryElsewhere(call &Call, instant Now);
  void retryElsewhere(const call_pointer &Call, instant Now);
  bool mayRetry(call &Call, const run_report &Report, instant Now);
  void cancelOrFail(const call_pointer &Call, instant Now);
  void finish(call &Call, response Response, std::string_view Verdict,
              instant Now);
  response localResponse(const call &Call, unsigned Status,
                         bool HasRetryAfter) const;
  void wakeAt(call &Call, instant Time);
  void erase(call &Call);
  void abandon(call &Call, const char *Reason, instant Now);

  /// Calls @p Work on one call. An exception ends that call only, as one that
  /// may have run.
  template <class Callback>
  void isolate(const call_pointer &Call, instant Now, const Callback &Work) {
    try {
      Work();
    } catch (const std::exception &Fault) {
      abandon(*Call, Fault.what(), Now);
    }
  }

  const forwarder_settings Settings;
  const header_names &Names;
  instance_directory &Directory;
  forward_port &Port;
  random_source &Random;
  std::shared_ptr<const route_table> Routes;
  instant RefusesFrom = instant::max();
  /// Whether requests may still be offered to gates.
  bool MayOffer = true;
  std::uint64_t LastNumber = 0;
  std::unordered_map<call_number, call_pointer> Calls;
  std::unordered_map<attempt_id, call_pointer, request_id_hash> CallsByAttempt;
  std::multimap<instant, call_number> Wakes;
  std::unordered_map<std::string, service_retry_budget> Budgets;
  std::unordered_map<std::string, weighted_rotation> Rotations;
};

} // namespace clementine::proxy

#endif
