#include "clementine_proxy/node/record_exchange.h"

#include "clementine_proxy/model/boot_clock.h"
#include "clementine_proxy/node/record_relay.h"

#include <algorithm>
#include <set>
#include <utility>

namespace clementine::proxy {

void record_exchange::configRead(
    const std::shared_ptr<const routing_config> &Config,
    platform_revision Revision) {
  Dependencies.Configs.readFromStore(Config, Revision, boot_clock().now());
}

void record_exchange::recordsListed(const std::vector<node_record> &Records,
                                    const store_position &Position) {
  Dependencies.Directory.replaceAll(Records, boot_clock().now());
  notePosition(Position);
  if (!std::exchange(HasListed, true))
    askOtherNodes(Records);
  const auto Own =
      std::ranges::find(Records, Dependencies.OwnNode, &node_record::Node);
  Dependencies.Reports.startAccepting(Own == Records.end() ? std::nullopt
                                                           : Own->Departed);
}

void record_exchange::askOtherNodes(const std::vector<node_record> &Records) {
  std::set<std::string> Asked;
  for (const node_record &Each :
       selectAdvisers(Dependencies.OwnNode, Records)) {
    Dependencies.Peers.open(Each.Node, Each.Peer);
    Asked.insert(Each.Node);
  }
  Dependencies.Configs.awaitVersionsOf(std::move(Asked));
  Dependencies.Configs.applyHeld(boot_clock().now());
}

void record_exchange::recordChanged(const node_record &Record,
                                    const store_position &Position) {
  Dependencies.Directory.record(Record);
  if (IsRelay)
    Dependencies.Peers.broadcast({Record, Position.Revision, Position.Era},
                                 Dependencies.OwnZone);
  notePosition(Position);
}

void record_exchange::recordRemoved(const std::string &Node,
                                    const store_position &Position) {
  Dependencies.Directory.markRecordRemoved(Node, boot_clock().now());
  notePosition(Position);
}

void record_exchange::relayed(const record_update &Update) {
  Dependencies.Directory.relayedRecord(Update.Record,
                                       isNewerThanRead(Update, LastRead));
}

void record_exchange::departureRemembered(const peer_hello &Hello) {
  if (Hello.ReceiverDeparture)
    Dependencies.Reports.handleRememberedDeparture(*Hello.ReceiverDeparture);
}

void record_exchange::greeted(const peer_hello &Hello) {
  departureRemembered(Hello);
  const known_gate *Gate = Dependencies.Directory.find(Hello.Self.Node);
  if (Gate == nullptr || Gate->Record.Incarnation < Hello.Self.Incarnation)
    Dependencies.Directory.record(Hello.Self);
}

void record_exchange::updateRelayRole() {
  const bool WasRelay = std::exchange(
      IsRelay,
      isRecordRelay(Dependencies.OwnNode,
                    Dependencies.Directory.nodesOfZone(Dependencies.OwnZone)));
  Dependencies.ReadPromptly(IsRelay);
  if (IsRelay != WasRelay)
    Log.info(IsRelay ? "passes records on to other nodes"
                     : "no longer passes records on");
}

void record_exchange::notePosition(const store_position &Position) {
  LastRead = std::max(LastRead, Position);
}

} // namespace clementine::proxy
