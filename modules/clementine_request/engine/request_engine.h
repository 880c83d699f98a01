#ifndef CLEMENTINE_REQUEST_ENGINE_REQUEST_ENGINE_H
#define CLEMENTINE_REQUEST_ENGINE_REQUEST_ENGINE_H

#include "clementine_admission/clementine_admission.h"
#include "clementine_request/entry/entry_service.h"
#include "clementine_request/gate/gate_service.h"
#include "clementine_request/ledger/run_ledger.h"

#include <deque>
#include <memory>

namespace clementine {

/// Settings of a request_engine.
struct request_engine_settings {
  entry_service_settings Entry;
  gate_service_settings Gate;
  admission_gate_settings Admission;
  run_ledger_settings Ledger;
};

/// The output ports of a request_engine; they must outlive it.
struct request_engine_ports {
  peer_port &Peers;
  caller_port &Callers;
  claim_port &Claims;
  upstream_port &Upstream;
  entry_observer &EntryObserver;
  gate_observer &GateObserver;
};

/// Handles all requests of one node: the entry side, which accepts requests
/// from callers, and the gate, which runs requests on the upstream.
///
/// Performs no I/O and starts no threads. Each event is a call with the current
/// time; all resulting actions are sent to the ports before the call returns.
class request_engine {
public:
  /// @param Limiter limits the number of concurrent runs on the upstream.
  request_engine(request_engine_settings Settings, request_engine_ports Ports,
                 std::unique_ptr<concurrency_limiter> Limiter,
                 random_source &Random);

  request_engine(const request_engine &) = delete;
  request_engine &operator=(const request_engine &) = delete;

  /// @name Events
  void callerRequested(caller_request Request, instant Now);
  void callerDisconnected(call_id Call, instant Now);
  void messageArrived(link_id Link, peer_message Message, instant Now);
  void linkUp(link_id Link, const node_identity &Peer, instant Now);
  void linkDown(link_id Link, bool WasUp, instant Now);
  void upstreamCallEnded(const upstream_result &Result, instant Now);
  void claimEnded(const claim_result &Result, instant Now);
  void bundleAccepted(std::shared_ptr<const bundle> Accepted);
  void directoryChanged(std::shared_ptr<const service_directory> View,
                        instant Now);
  /// Sets the name of the service that the local upstream provides.
  void upstreamAnnounced(std::string Service);
  /// The node or its upstream is shutting down; refuses all new requests.
  void drain(instant Now);
  void onTick(instant Now);

  /// @returns whether there are no active runs and no active calls.
  bool isIdle() const;
  bool isDraining() const { return Gate.isDraining(); }

  const gate_service &gate() const { return Gate; }
  const entry_service &entry() const { return Entry; }
  const admission_gate &admission() const { return Admission; }

private:
  /// Queues messages that the node sends to itself until the current event has
  /// been handled; passes all others to the remote port.
  class loopback_port final : public peer_port {
  public:
    explicit loopback_port(peer_port &Remote) : Remote(Remote) {}
    void openLink(link_id Link, const endpoint &Target) override;
    void sendOn(link_id Link, peer_message Message) override;
    void closeLink(link_id Link) override;

    peer_port &Remote;
    std::deque<peer_message> Waiting;
  };

  void deliver(link_id Link, peer_message &Message, instant Now);
  void deliverLocal(instant Now);

  loopback_port Peers;
  admission_gate Admission;
  run_ledger Ledger;
  gate_service Gate;
  entry_service Entry;
};

} // namespace clementine

#endif
