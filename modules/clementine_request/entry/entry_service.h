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

/// Times and limits of an entry_service.
struct entry_service_settings {
  node_identity Self;
  std::string DataCentre;
  /// How long an answer is waited for after the request's deadline, so that a
  /// certain answer on its way is not turned into an uncertain one.
  duration AnswerGrace = std::chrono::milliseconds(20);
  /// How long a lost connection's node is asked again before the outcome of an
  /// attempt counts as unknown.
  duration LostPatience = std::chrono::milliseconds(1000);
  /// How long a call waits for a first instance of its service. A node learns
  /// of the instances in other data centres when they are first asked for.
  duration ParkingTime = std::chrono::milliseconds(1500);
  /// How many nodes are asked for an earlier send of a key, and among how many
  /// a first send of it is placed.
  std::size_t KeyPlaces = 4;
  /// The deepest chain of sub-calls.
  std::uint8_t DeepestChain = 32;
  /// The most calls at once.
  std::size_t MostCalls = 4096;
  retry_throttle_settings Throttle;
  /// The share of traces that are sampled, from 0 to 1.
  double SampleShare = 0;

  bool operator==(const entry_service_settings &) const = default;
};

/// What an entry_service sends through; all outlive it.
struct entry_ports {
  peer_port &Peers;
  caller_port &Callers;
  claim_port &Claims;
  entry_observer &Observer;
};

/// Carries requests of callers, and sub-calls of the upstream beside this node,
/// to a gate and brings back one of three truths. Free of I/O.
///
/// NotRun is said only when no attempt was sent, or when every attempt was
/// certified as not run by its gate. A request that may not be repeated is sent
/// as a first send to exactly one gate at a time, and to another one only after
/// such a certificate; a re-send is looked up and never starts a run. Numbered
/// sends need no store; an unnumbered one first records a claim that names its
/// gate. When anything is in doubt the outcome is Unknown.
class entry_service {
public:
  entry_service(entry_service_settings Settings, entry_ports Ports,
                gate_service &Gate, random_source &Random);

  entry_service(const entry_service &) = delete;
  entry_service &operator=(const entry_service &) = delete;

  /// Puts a bundle in force; calls that have begun keep what they looked up.
  void setBundle(std::shared_ptr<const bundle> Accepted);

  /// Takes a new view of the services.
  void setDirectory(std::shared_ptr<const service_directory> View, instant Now);

  /// Takes a request; answerCaller() follows exactly once.
  void request(caller_request Request, instant Now);

  /// Takes the news that a caller no longer waits.
  void callerGone(call_id Call, instant Now);

  /// Takes the end of an attempt or of a look-up.
  void answered(const run_answer &Answer, instant Now);
  void absent(const run_not_found &Absent, instant Now);

  /// Takes the platform's word on a claim.
  void claimed(const claim_result &Result, instant Now);

  /// Takes news of links that this node has dialled.
  void linkUp(link_id Link, const node_identity &Peer, instant Now);
  void linkDown(link_id Link, bool WasUp, instant Now);

  /// Ends what is over its time.
  void passTime(instant Now);

  /// @returns how many requests wait for their answers.
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
  void goOn(const call_pointer &Call, instant Now);
  bool park(const call_pointer &Call, refusal Failure, instant Now);
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
  void giveUp(const call_pointer &Call, const request_id &Run, refusal Reason,
              instant Now);
  void loseAttempt(entry_attempt &Attempt, instant Now);
  void askAgain(const entry_call &Call, entry_attempt &Attempt);

  void learnRoute(const entry_call &Call, const entry_attempt &Attempt,
                  const run_answer &Answer, instant Now);
  void finish(const call_pointer &Call, run_outcome Outcome, refusal Reason,
              const http_answer &Answer, instant Now);
  void endAtDeadline(const call_pointer &Call, instant Now);

  call_pointer findByRun(const request_id &Run) const;
  std::vector<std::pair<call_pointer, request_id>>
  attemptsOn(link_id Link) const;
  static entry_attempt *findAttempt(entry_call &Call, const request_id &Run);
  entry_attempt takeAttempt(entry_call &Call, const request_id &Run);
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
