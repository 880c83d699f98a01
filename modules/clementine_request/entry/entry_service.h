#ifndef CLEMENTINE_REQUEST_ENTRY_ENTRY_SERVICE_H
#define CLEMENTINE_REQUEST_ENTRY_ENTRY_SERVICE_H

#include "clementine_bundle/clementine_bundle.h"
#include "clementine_request/entry/entry_call.h"
#include "clementine_request/entry/entry_ports.h"
#include "clementine_request/entry/node_links.h"
#include "clementine_request/entry/service_directory.h"
#include "clementine_request/gate/gate_service.h"
#include "clementine_routing/clementine_routing.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace clementine {

/// Timeouts and limits of an entry_service.
struct entry_service_settings {
  node_identity Self;
  std::string DataCentre;
  /// How long to wait for an answer after the request's deadline, so that a
  /// definite answer in transit is not reported as Unknown.
  duration AnswerGrace = std::chrono::milliseconds(20);
  /// How long to try to reach a node after its connection was lost, before the
  /// outcome of the attempt is Unknown.
  duration LostConnectionTimeout = std::chrono::milliseconds(1000);
  /// How long a call waits for a first instance of its service. A node
  /// discovers instances in other data centres only when they are first
  /// requested.
  duration InstanceWaitTimeout = std::chrono::milliseconds(1500);
  /// The number of nodes in the rendezvous order of a key that are queried for
  /// an earlier send, and from which a first send chooses its node if possible.
  std::size_t KeyNodeCount = 4;
  /// The maximum depth of a chain of sub-calls.
  std::uint8_t MaxDepth = 32;
  /// The maximum number of concurrent calls.
  std::size_t MaxCalls = 4096;
  retry_throttle_settings Throttle;
  /// The fraction of traces that are sampled, from 0 to 1.
  double SampleShare = 0;

  bool operator==(const entry_service_settings &) const = default;
};

/// The output ports of an entry_service; they must outlive it.
struct entry_ports {
  peer_port &Peers;
  caller_port &Callers;
  claim_port &Claims;
  entry_observer &Observer;
};

/// Sends requests of callers, and sub-calls of the upstream on the same VM, to
/// a gate and returns one of three outcomes. Performs no I/O.
///
/// NotRun is returned only if no attempt was sent, or if the gate of every
/// attempt confirmed that it was not run. A non-repeatable request is sent as a
/// first send to exactly one gate at a time, and to another one only after such
/// a confirmation; a re-send is looked up and never starts a run. Numbered
/// sends need no store; an unnumbered send first records a claim that names its
/// gate. In case of doubt the outcome is Unknown.
class entry_service {
public:
  entry_service(entry_service_settings Settings, entry_ports Ports,
                gate_service &Gate, random_source &Random);

  entry_service(const entry_service &) = delete;
  entry_service &operator=(const entry_service &) = delete;

  /// Activates a bundle; calls in progress keep the policy they looked up.
  void setBundle(std::shared_ptr<const bundle> Accepted);

  /// Replaces the service directory.
  void setDirectory(std::shared_ptr<const service_directory> View, instant Now);

  /// Accepts a request; answerCaller() is called exactly once for it.
  void request(caller_request Request, instant Now);

  /// Ends a call whose caller has disconnected.
  void handleCallerDisconnect(call_id Call, instant Now);

  /// Handles the result of an attempt or a look-up.
  void handleRunAnswer(const run_answer &Answer, instant Now);
  void handleRunAbsent(const run_not_found &Absent, instant Now);

  /// Handles the platform's answer to a claim request.
  void handleClaimResult(const claim_result &Result, instant Now);

  /// Handles state changes of outbound links.
  void linkUp(link_id Link, const node_identity &Peer, instant Now);
  void linkDown(link_id Link, bool WasUp, instant Now);

  /// Ends calls and attempts whose time has run out, and reconnects lost links.
  void processTimeouts(instant Now);

  /// @returns the number of calls in progress.
  std::size_t activeCalls() const { return Calls.size(); }

private:
  using call_pointer = std::shared_ptr<entry_call>;

  struct service_routes {
    service_routes(const route_settings &Settings,
                   const retry_throttle_settings &Throttle,
                   random_source &Random)
        : Chooser(Settings, Random), Throttle(Throttle) {}
    route_chooser Chooser;
    retry_throttle Throttle;
  };

  refusal prepareRoot(entry_call &Call, instant Now);
  refusal prepareSubCall(entry_call &Call, instant Now);
  refusal applyPolicy(entry_call &Call, instant Now);
  bool isRefusedEarly(const entry_call &Call, instant Now);
  void trace(entry_call &Call);
  void begin(const call_pointer &Call, instant Now);

  void sendNext(const call_pointer &Call, instant Now);
  void resume(const call_pointer &Call, instant Now);
  bool awaitInstance(const call_pointer &Call, refusal Failure, instant Now);
  void sendRun(const call_pointer &Call, const service_instance &Instance,
               instant Now);
  const service_instance *choose(const entry_call &Call, refusal &Failure,
                                 instant Now);
  void claimNext(const call_pointer &Call, instant Now);
  void lookUp(const call_pointer &Call, instant Now);
  void lookUpAt(const call_pointer &Call, const service_instance &Instance,
                instant Now);
  void lookUpClaim(const call_pointer &Call, instant Now);

  void attemptNotRun(const call_pointer &Call, const entry_attempt &Attempt,
                     refusal Reason, instant Now);
  void attemptUnknown(const call_pointer &Call, const entry_attempt &Attempt,
                      refusal Reason, instant Now);
  void lookUpEnded(const call_pointer &Call, const entry_attempt &Attempt,
                   const run_answer *Answer, instant Now);
  void retryOrEnd(const call_pointer &Call, attempt_outcome Outcome,
                  refusal Reason, instant Now);
  void failUnsent(const call_pointer &Call, const request_id &Run, instant Now);
  void abandonAttempt(const call_pointer &Call, const request_id &Run,
                      refusal Reason, instant Now);
  void markLost(entry_attempt &Attempt, instant Now);
  void queryLostAttempt(const entry_call &Call, entry_attempt &Attempt);

  void updateRouting(const entry_call &Call, const entry_attempt &Attempt,
                     const run_answer &Answer, instant Now);
  void finish(const call_pointer &Call, run_outcome Outcome, refusal Reason,
              const http_answer &Answer, instant Now);
  void endAtDeadline(const call_pointer &Call, instant Now);

  call_pointer findByRun(const request_id &Run) const;
  std::vector<std::pair<call_pointer, request_id>>
  attemptsOn(link_id Link) const;
  static entry_attempt *findAttempt(entry_call &Call, const request_id &Run);
  entry_attempt removeAttempt(entry_call &Call, const request_id &Run);
  service_routes &routesOf(const std::string &Service, instant Now);
  admission_rank rankOfCall(const entry_call &Call) const;

  const entry_service_settings Settings;
  entry_ports Ports;
  gate_service &Gate;
  random_source &Random;
  node_links Links;
  std::shared_ptr<const bundle> Bundle;
  std::shared_ptr<const service_directory> Directory;
  std::unordered_map<std::string, std::unique_ptr<service_routes>> Routes;
  admission_hints Hints;
  const trace_sampler Sampler;
  std::unordered_map<call_id, call_pointer> Calls;
  std::unordered_map<request_id, call_id, request_id_hash> CallByRun;
};

} // namespace clementine

#endif
