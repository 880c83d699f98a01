#ifndef CLEMENTINE_REQUEST_ENGINE_REQUEST_ENGINE_H
#define CLEMENTINE_REQUEST_ENGINE_REQUEST_ENGINE_H

#include "clementine_admission/clementine_admission.h"
#include "clementine_request/entry/entry_service.h"
#include "clementine_request/gate/gate_service.h"
#include "clementine_request/ledger/run_ledger.h"

#include <deque>
#include <memory>

namespace clementine {

/// Everything that the two sides of a request_engine are set to.
struct request_engine_settings {
  entry_service_settings Entry;
  gate_service_settings Gate;
  admission_gate_settings Admission;
  run_ledger_settings Ledger;
};

/// What a request_engine acts through; all outlive it.
struct request_engine_ports {
  peer_port &Peers;
  caller_port &Callers;
  claim_port &Claims;
  upstream_port &Upstream;
  entry_observer &EntryObserver;
  gate_observer &GateObserver;
};

/// All decisions of one node about requests: the entry side that faces callers
/// and the gate that faces the upstream.
///
/// Free of I/O and threads: each event is a call with the present time, and
/// what follows from it goes out through the ports before the call returns.
class request_engine {
public:
  /// @param Limiter says how many runs the upstream gets at once.
  request_engine(request_engine_settings Settings, request_engine_ports Ports,
                 std::unique_ptr<concurrency_limiter> Limiter,
                 random_source &Random);

  request_engine(const request_engine &) = delete;
  request_engine &operator=(const request_engine &) = delete;

  /// @name Events
  void callerRequested(caller_request Request, instant Now);
  void callerLeft(call_id Call, instant Now);
  void messageArrived(link_id Link, peer_message Message, instant Now);
  void linkUp(link_id Link, const node_identity &Peer, instant Now);
  void linkDown(link_id Link, bool WasUp, instant Now);
  void upstreamCallEnded(const upstream_result &Result, instant Now);
  void claimEnded(const claim_result &Result, instant Now);
  void bundleAccepted(std::shared_ptr<const bundle> Accepted);
  void directoryChanged(std::shared_ptr<const service_directory> View,
                        instant Now);
  /// Names the service of the upstream beside this node.
  void upstreamAnnounced(std::string Service);
  /// The node or its upstream is leaving: no new work.
  void drain(instant Now);
  void timePassed(instant Now);

  /// @returns whether nothing is left to finish.
  bool isIdle() const;
  bool isDraining() const { return Gate.isDraining(); }

  const gate_service &gate() const { return Gate; }
  const entry_service &entry() const { return Entry; }
  const admission_gate &admission() const { return Admission; }

private:
  /// Keeps what the node says to itself until the present event is over.
  class local_peers final : public peer_port {
  public:
    explicit local_peers(peer_port &Remote) : Remote(Remote) {}
    void openLink(link_id Link, const endpoint &Target) override;
    void sendOn(link_id Link, peer_message Message) override;
    void closeLink(link_id Link) override;

    peer_port &Remote;
    std::deque<peer_message> Waiting;
  };

  void deliver(link_id Link, peer_message &Message, instant Now);
  void deliverLocal(instant Now);

  local_peers Peers;
  admission_gate Admission;
  run_ledger Ledger;
  gate_service Gate;
  entry_service Entry;
};

} // namespace clementine

#endif
