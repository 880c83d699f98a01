#ifndef CLEMENTINE_PROXY_ENTRY_FORWARDER_H
#define CLEMENTINE_PROXY_ENTRY_FORWARDER_H

#include "clementine_proxy/entry/instance_directory.h"
#include "clementine_proxy/entry/service_retry_budget.h"
#include "clementine_proxy/http/header_names.h"
#include "clementine_proxy/model/routing_config.h"
#include "clementine_proxy/peers/peer_messages.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementine::proxy {

/// Names a caller's request within this process.
using call_number = std::uint64_t;

/// Times and limits of a forwarder.
struct forwarder_settings {
  std::string OwnNode;
  /// The service of the instance beside this node, stamped on each request.
  std::string OwnService;
  service_retry_budget_settings Retries;
  /// The most gates that one request is offered to.
  std::size_t MaxOffers = 3;
  /// How long the end of an attempt is waited for after it was taken back.
  duration CancelGrace = std::chrono::milliseconds(80);
  /// When a refused caller should come back.
  duration RetryAfter = std::chrono::milliseconds(300);
  /// How long a request waits for an instance of its service to appear.
  duration ParkingTime = std::chrono::milliseconds(100);
  /// How often a parked request looks for an instance.
  duration ParkingPoll = std::chrono::milliseconds(20);
};

/// What a forwarder acts through.
class forward_port {
public:
  virtual ~forward_port() = default;

  /// Makes sure that a link to a gate exists or is being made.
  /// @returns whether it is up.
  virtual bool openLink(const node_record &Gate) = 0;
  virtual void send(const std::string &Node, peer_message Message) = 0;
  /// Answers a caller; each call once.
  virtual void answer(call_number Call, response Response) = 0;
};

/// Takes each request of a caller to one gate after another until it has its
/// final answer. Free of I/O.
///
/// A status that promises that the request has not run is given only if no
/// attempt was sent, or if every one was certified as not run.
class forwarder {
public:
  forwarder(forwarder_settings Settings, const header_names &Names,
            instance_directory &Directory, forward_port &Port,
            random_source &Random);
  ~forwarder();

  forwarder(const forwarder &) = delete;
  forwarder &operator=(const forwarder &) = delete;

  /// Puts a configuration in force unless it is older than the present one.
  /// @returns whether it was taken.
  bool setConfig(std::shared_ptr<const routing_config> Config);
  std::uint64_t configVersion() const {
    return Routes ? Routes->config().Version : 0;
  }
  /// @returns the configuration in force, or null.
  std::shared_ptr<const routing_config> config() const {
    return Routes ? Routes->shared() : nullptr;
  }

  /// Takes a request; forward_port::answer() follows once unless the caller
  /// leaves.
  void begin(call_number Call, request Request, instant Now);
  /// The caller no longer waits.
  void callerDisconnected(call_number Call, instant Now);

  void handleReport(const std::string &Node, run_report Report, instant Now);
  void linkUp(const std::string &Node, std::uint64_t Incarnation, instant Now);
  void linkDown(const std::string &Node, bool WasUp, instant Now);

  /// The link to a gate has brought nothing for a while, though it should have:
  /// what may be repeated goes elsewhere, within the budget; the rest waits.
  void linkUnresponsive(const std::string &Node, instant Now);

  /// Dials again the gates whose links were lost with attempts under way.
  void reopenLinks();

  void passTime(instant Now);
  std::optional<instant> nextWake() const;

  std::size_t active() const { return Calls.size(); }

private:
  struct attempt {
    attempt_id Id;
    std::string Node;
    /// The run of the node that got it; 0 while it waits for the link.
    std::uint64_t Incarnation = 0;
    bool IsSent = false;
    bool IsCancelled = false;
  };
  struct call {
    call_number Number = 0;
    std::string RequestId;
    request Request;
    /// Keeps the configuration that the request was routed by.
    std::shared_ptr<const route_table> Routes;
    const route *Route = nullptr;
    std::string Service;
    instant ArrivedAt;
    instant TimeoutAt;
    std::optional<attempt> Attempt;
    std::vector<std::string> Tried;
    std::uint32_t Arrivals = 0;
    std::size_t Offers = 0;
    /// Whether an earlier attempt may have run.
    bool MayHaveRun = false;
    run_cause LastCause = run_cause::None;
    /// The time that the call is registered for.
    instant WakeAt;
  };
  using call_pointer = std::shared_ptr<call>;

  void offerNext(const call_pointer &Call, instant Now);
  void sendAttempt(call &Call, instant Now);
  void attemptEnded(const call_pointer &Call, run_report &Report, instant Now);
  void closeAttempt(call &Call, const run_report &Report, instant Now);
  bool mayLeave(call &Call, instant Now);
  bool mayRepeat(call &Call, const run_report &Report, instant Now);
  void giveUp(const call_pointer &Call, instant Now);
  void finish(call &Call, response Response, std::string_view Verdict,
              instant Now);
  response ownAnswer(const call &Call, unsigned Status,
                     bool SaysWhenToRetry) const;
  void wakeAt(call &Call, instant Time);
  void erase(call &Call);
  std::optional<duration> patienceOf(const request &Request) const;

  const forwarder_settings Settings;
  const header_names &Names;
  instance_directory &Directory;
  forward_port &Port;
  random_source &Random;
  std::shared_ptr<const route_table> Routes;
  std::unordered_map<call_number, call_pointer> Calls;
  std::unordered_map<attempt_id, call_pointer, request_id_hash> ByAttempt;
  std::multimap<instant, call_number> Wakes;
  std::unordered_map<std::string, service_retry_budget> Budgets;
  std::unordered_map<std::string, weighted_rotation> Rotations;
};

} // namespace clementine::proxy

#endif
