#include "clementine_request/engine/request_engine.h"

#include <utility>

namespace clementine {

void request_engine::loopback_port::openLink(link_id Link,
                                             const endpoint &Target) {
  Remote.openLink(Link, Target);
}

void request_engine::loopback_port::sendOn(link_id Link, peer_message Message) {
  if (Link == LocalLink)
    Waiting.push_back(std::move(Message));
  else
    Remote.sendOn(Link, std::move(Message));
}

void request_engine::loopback_port::closeLink(link_id Link) {
  Remote.closeLink(Link);
}

request_engine::request_engine(request_engine_settings Settings,
                               request_engine_ports Ports,
                               std::unique_ptr<concurrency_limiter> Limiter,
                               random_source &Random)
    : Peers(Ports.Peers), Admission(Settings.Admission, std::move(Limiter)),
      Ledger(Settings.Ledger),
      Gate(Settings.Gate, Admission, Ledger, Ports.Upstream, Peers,
           Ports.GateObserver, Random),
      Entry(std::move(Settings.Entry),
            {Peers, Ports.Callers, Ports.Claims, Ports.EntryObserver}, Gate,
            Random) {}

void request_engine::callerRequested(caller_request Request, instant Now) {
  Entry.request(std::move(Request), Now);
  deliverLocal(Now);
}

void request_engine::callerDisconnected(call_id Call, instant Now) {
  Entry.handleCallerDisconnect(Call, Now);
  deliverLocal(Now);
}

void request_engine::messageArrived(link_id Link, peer_message Message,
                                    instant Now) {
  deliver(Link, Message, Now);
  deliverLocal(Now);
}

void request_engine::linkUp(link_id Link, const node_identity &Peer,
                            instant Now) {
  Entry.linkUp(Link, Peer, Now);
  deliverLocal(Now);
}

void request_engine::linkDown(link_id Link, bool WasUp, instant Now) {
  Entry.linkDown(Link, WasUp, Now);
  deliverLocal(Now);
}

void request_engine::upstreamCallEnded(const upstream_result &Result,
                                       instant Now) {
  Gate.upstreamCallEnded(Result, Now);
  deliverLocal(Now);
}

void request_engine::claimEnded(const claim_result &Result, instant Now) {
  Entry.handleClaimResult(Result, Now);
  deliverLocal(Now);
}

void request_engine::bundleAccepted(std::shared_ptr<const bundle> Accepted) {
  Entry.setBundle(std::move(Accepted));
}

void request_engine::directoryChanged(
    std::shared_ptr<const service_directory> View, instant Now) {
  Entry.setDirectory(std::move(View), Now);
}

void request_engine::upstreamAnnounced(std::string Service) {
  Gate.setService(std::move(Service));
}

void request_engine::drain(instant Now) {
  Gate.drain(Now);
  deliverLocal(Now);
}

void request_engine::onTick(instant Now) {
  Gate.processTimeouts(Now);
  Entry.processTimeouts(Now);
  deliverLocal(Now);
}

bool request_engine::isIdle() const {
  return Gate.activeRuns() == 0 && Entry.activeCalls() == 0;
}

void request_engine::deliver(link_id Link, peer_message &Message, instant Now) {
  if (auto *Request = std::get_if<run_request>(&Message))
    Gate.run(Link, std::move(*Request), Now);
  else if (const auto *Answer = std::get_if<run_answer>(&Message))
    Entry.handleRunAnswer(*Answer, Now);
  else if (const auto *Query = std::get_if<run_query>(&Message))
    Gate.query(Link, *Query, Now);
  else if (const auto *Absent = std::get_if<run_not_found>(&Message))
    Entry.handleRunAbsent(*Absent, Now);
  else if (const auto *Cancel = std::get_if<run_cancel>(&Message))
    Gate.cancel(*Cancel, Now);
}

void request_engine::deliverLocal(instant Now) {
  while (!Peers.Waiting.empty()) {
    peer_message Message = std::move(Peers.Waiting.front());
    Peers.Waiting.pop_front();
    deliver(LocalLink, Message, Now);
  }
}

} // namespace clementine
