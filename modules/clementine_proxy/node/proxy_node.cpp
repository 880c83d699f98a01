#include "clementine_proxy/node/proxy_node.h"

#include "clementine_proxy/entry/forwarder.h"
#include "clementine_proxy/gate/instance_client.h"
#include "clementine_proxy/http/http_listener.h"
#include "clementine_proxy/model/boot_clock.h"
#include "clementine_proxy/node/caller_request_handler.h"
#include "clementine_proxy/node/component_settings.h"
#include "clementine_proxy/node/config_exchange.h"
#include "clementine_proxy/node/decision_timer.h"
#include "clementine_proxy/node/fault_guard.h"
#include "clementine_proxy/node/graceful_stop.h"
#include "clementine_proxy/node/instance_report_handler.h"
#include "clementine_proxy/node/lasting_task.h"
#include "clementine_proxy/node/loop_calls.h"
#include "clementine_proxy/node/node_status_publisher.h"
#include "clementine_proxy/node/operator_endpoints.h"
#include "clementine_proxy/node/process_start.h"
#include "clementine_proxy/node/record_exchange.h"
#include "clementine_proxy/node/repeating_timer.h"
#include "clementine_proxy/peers/peer_hub.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace clementine::proxy {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds HousekeepingInterval{200};
/// How long a starting node waits for the record of its previous process.
constexpr std::chrono::milliseconds PreviousRecordTimeout{1000};
/// The maximum number of open connections to each of the listeners for control,
/// readiness and metrics.
constexpr std::size_t MaxLocalConnections = 64;

} // namespace

/// Owns the components of the node and connects them. Everything but the tasks
/// of the store runs on the event loop's thread.
class proxy_node::implementation final : private peer_hub_listener,
                                         private forward_port,
                                         private gate_port {
public:
  implementation(proxy_settings Given, deployment_adapter &Adapter)
      : Settings(std::move(Given)), Adapter(Adapter), Random(randomSeed()),
        Registration(Settings.Service, Settings.InstanceAddress),
        Gate({}, Registration, *this),
        Client(Loop, clientSettingsOf(Settings), Adapter.headers(),
               [this](const attempt_id &Attempt, instance_result Result) {
                 instanceEnded(Attempt, std::move(Result));
               }),
        Directory(directorySettingsOf(Settings), Random),
        Forwarder(forwarderSettingsOf(Settings, Incarnation), Adapter.headers(),
                  Directory, *this, Random),
        Peers(Loop, {}, Settings.PeerListen, *this),
        Decisions(Loop, Forwarder, Gate),
        Housekeeping(Loop, Faults, "housekeeping", HousekeepingInterval,
                     [this] { runHousekeeping(); }),
        ConfigExchange(Forwarder, Peers),
        CallerHandler(Forwarder, Metrics, Faults, [this] { schedule(); }),
        ReportHandler(Registration,
                      [this](bool IsNewRun) { instanceChanged(IsNewRun); }),
        Outbound(Loop, Settings.OutboundListen, CallerHandler,
                 Settings.MaxConnections),
        ControlHandler(Adapter,
                       [this](const instance_call_content &Content) {
                         return ReportHandler.handle(Content);
                       }),
        ReadyHandler(Adapter, [this] { return isReady(); }),
        MetricsHandler(Metrics), Control(Loop, Settings.ControlListen,
                                         ControlHandler, MaxLocalConnections),
        Ready(Loop, Settings.ReadyListen, ReadyHandler, MaxLocalConnections),
        MetricsServer(Loop, Settings.MetricsListen, MetricsHandler,
                      MaxLocalConnections),
        Records(
            {Settings.Name, Settings.Zone, Directory, ConfigExchange,
             ReportHandler, Peers,
             [this](bool IsPrompt) { Store.readRecordsPromptly(IsPrompt); }}),
        Store(Adapter, Loop, Settings.Name, Metrics, Faults, Records),
        StatusPublisher({Settings, Registration, Gate, Directory, Peers, Store},
                        Incarnation),
        Stop(Settings.StopGrace,
             {Loop, Forwarder, Gate, Outbound, Control, Peers,
              [this] { this->Adapter.store().interrupt(); },
              [this] { schedule(); }}),
        Root("proxy") {
    Registration.hold();
    addTasks();
  }

  void start() {
    Peers.start();
    Outbound.start();
    Control.start();
    Ready.start();
    MetricsServer.start();
    Housekeeping.start();
    StatusPublisher.publish();
    Root.start();
    Log.info("node started", {{"node", Settings.Name},
                              {"zone", Settings.Zone},
                              {"service", Settings.Service},
                              {"incarnation", StatusPublisher.incarnation()},
                              {"version", CLEMENTINE_VERSION}});
  }

  bool stop() {
    const instant Begun = now();
    Log.info("node is leaving");
    runOnLoop(Loop, [this, Begun] { leave(Begun); });
    const bool IsFinished = Stop.awaitEnd();
    runOnLoop(Loop, [this] { close(); });
    Root.stop();
    Log.info("node stopped", {{"finished", IsFinished ? 1 : 0}});
    return IsFinished;
  }

private:
  static instant now() { return boot_clock().now(); }

  /// The loop starts first and stops last: the tasks of the store post to it.
  /// An exception ends one handler; the loop continues with the next one.
  void addTasks() {
    Root.add(makeLastingTask(
        "loop", [this](const auto &) { Loop.run(); }, [this] { Loop.stop(); },
        duration(0), Faults));
    Root.add(Store.tasks());
  }

  void instanceChanged(bool IsNewRun) {
    if (IsNewRun)
      Client.dropIdle();
    Gate.instanceChanged(now());
    StatusPublisher.instanceChanged(now());
    schedule();
  }

  /// @name peer_hub_listener
  peer_hello helloTo(const std::string &Node) override {
    return {StatusPublisher.record(), Forwarder.configVersion(),
            StatusPublisher.status(now()), Directory.departureOf(Node)};
  }

  peer_status status() override {
    return {Forwarder.configVersion(), StatusPublisher.status(now()),
            Registration.lastDeparture()};
  }

  void peerUp(const std::string &Node, const peer_hello &Hello) override {
    Records.departureRemembered(Hello);
    Directory.markConnected(Node, Hello);
    Forwarder.linkUp(Node, Hello.Self.Incarnation, now());
    ConfigExchange.requestIfNewer(Node, Hello.ConfigVersion, now());
    schedule();
  }

  void peerDown(const std::string &Node, bool WasUp) override {
    Forwarder.linkDown(Node, WasUp, now());
    ConfigExchange.nodeFailed(Node);
    ConfigExchange.applyHeld(now());
    schedule();
  }

  void peerUnresponsive(const std::string &Node) override {
    Directory.markUnresponsive(Node, now());
    Forwarder.linkUnresponsive(Node, now());
    schedule();
  }

  void peerReplyReceived(const std::string &Node,
                         peer_message Message) override {
    if (auto *Report = std::get_if<run_report>(&Message)) {
      ConfigExchange.requestIfNewer(Node, Report->ConfigVersion, now());
      Forwarder.handleReport(Node, std::move(*Report), now());
      schedule();
    } else if (const auto *Status = std::get_if<peer_status>(&Message)) {
      Directory.status(Node, Status->Gate);
      Directory.departed(Node, Status->Departed);
      ConfigExchange.requestIfNewer(Node, Status->ConfigVersion, now());
    } else if (const auto *Update = std::get_if<record_update>(&Message)) {
      Records.relayed(*Update);
    } else if (auto *Transfer = std::get_if<config_transfer>(&Message)) {
      ConfigExchange.apply(
          std::make_shared<const routing_config>(std::move(Transfer->Config)),
          Node, 0);
    }
  }

  void peerRequestReceived(std::uint64_t Link, peer_message Message) override {
    const instant Now = now();
    if (auto *AttemptRequest = std::get_if<attempt_request>(&Message))
      ordered(Link, std::move(*AttemptRequest));
    else if (const auto *Query = std::get_if<run_query>(&Message))
      Gate.query(Link, *Query, Now);
    else if (const auto *Cancel = std::get_if<run_cancel>(&Message))
      Gate.cancel(*Cancel, Now);
    else if (std::holds_alternative<config_request>(Message))
      ConfigExchange.sendCurrent(Link);
    else if (const auto *Update = std::get_if<record_update>(&Message))
      Records.relayed(*Update);
    else if (const auto *Hello = std::get_if<peer_hello>(&Message))
      processHello(*Hello);
    schedule();
  }

  void ordered(std::uint64_t Link, attempt_request Order) {
    const attempt_id Attempt = Order.Attempt;
    if (!Faults.run("order", Attempt.text(),
                    [&] { Gate.order(Link, std::move(Order), now()); }))
      Gate.abandon(Attempt, now());
  }

  void instanceEnded(const attempt_id &Attempt, instance_result Result) {
    const auto DepartedBefore = Registration.lastDeparture();
    if (!Faults.run("run", Attempt.text(), [&] {
          Gate.instanceEnded(Attempt, std::move(Result), now());
        }))
      Gate.abandon(Attempt, now());
    if (Registration.lastDeparture() != DepartedBefore)
      instanceChanged(false);
    schedule();
  }

  void processHello(const peer_hello &Hello) {
    Records.greeted(Hello);
    const known_gate *Gate = Directory.find(Hello.Self.Node);
    if (Hello.ConfigVersion > Forwarder.configVersion() && Gate != nullptr)
      Peers.open(Hello.Self.Node, Gate->Record.Peer);
  }

  /// @name forward_port
  bool openLink(const node_record &Target) override {
    return Target.Node == Settings.Name || Peers.open(Target.Node, Target.Peer);
  }

  void send(const std::string &Node, peer_message Message) override {
    if (Node == Settings.Name)
      asio::post(
          Loop, [this, Message = std::move(Message), SentAt = now()]() mutable {
            reduceTimeLeft(Message, now() - SentAt);
            peerRequestReceived(OwnEntryLink, std::move(Message));
          });
    else
      Peers.sendTo(Node, Message);
  }

  void answer(call_number Call, response Response) override {
    CallerHandler.answer(Call, std::move(Response));
  }

  /// @name gate_port
  void callInstance(instance_call Call) override {
    Client.call(std::move(Call));
  }

  void abortInstance(const attempt_id &Attempt) override {
    Client.abort(Attempt);
  }

  void report(std::uint64_t Link, run_report Report) override {
    if (Link != OwnEntryLink) {
      Report.ConfigVersion = Forwarder.configVersion();
      if (StatusPublisher.isLeaving())
        Report.Gate.Instance.clear();
      return Peers.reply(Link, Report);
    }
    asio::post(Loop, [this, Report = std::move(Report)]() mutable {
      Forwarder.handleReport(Settings.Name, std::move(Report), now());
      schedule();
    });
  }

  bool isReady() const {
    return !StatusPublisher.isLeaving() && Forwarder.config() != nullptr;
  }

  void schedule() { Decisions.schedule(); }
  void runHousekeeping() {
    const instant Now = now();
    for (const std::string &Node : Directory.prune(
             [this](const std::string &Name) {
               return Name == Settings.Name || Peers.isUp(Name);
             },
             Now)) {
      Log.info("node removed from the directory", {{"node", Node}});
      Peers.removePeer(Node);
    }
    Forwarder.reopenLinks();
    Records.updateRelayRole();
    ConfigExchange.applyHeld(Now);
    if (Registration.isHeld() && Now - StartedAt > PreviousRecordTimeout)
      ReportHandler.startAccepting(std::nullopt);
    Decisions.runDue(Now);
    Stop.passTime(Now);
  }

  /// @name Stopping
  void leave(instant Now) {
    Stop.begin(Now);
    StatusPublisher.leave();
    Directory.markLeaving(Settings.Name);
  }

  void close() {
    Outbound.stop();
    Control.stop();
    Ready.stop();
    MetricsServer.stop();
    Peers.stop();
    Client.stop();
    Decisions.stop();
    Housekeeping.stop();
  }

  const proxy_settings Settings;
  deployment_adapter &Adapter;
  const logger Log{"node"};
  const std::uint64_t Incarnation = wallMilliseconds();
  seeded_random Random;
  metrics_registry Metrics;
  fault_guard Faults{Metrics};
  asio::io_context Loop{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work{
      Loop.get_executor()};
  instance_registration Registration;
  instance_gate Gate;
  instance_client Client;
  instance_directory Directory;
  forwarder Forwarder;
  peer_hub Peers;
  decision_timer Decisions;
  repeating_timer Housekeeping;
  config_exchange ConfigExchange;
  caller_request_handler CallerHandler;
  instance_report_handler ReportHandler;
  http_listener Outbound;
  control_endpoint ControlHandler;
  readiness_endpoint ReadyHandler;
  metrics_endpoint MetricsHandler;
  http_listener Control;
  http_listener Ready;
  http_listener MetricsServer;
  record_exchange Records;
  store_synchronizer Store;
  node_status_publisher StatusPublisher;
  graceful_stop Stop;
  supervisor Root;
  const instant StartedAt = now();
};

proxy_node::proxy_node(proxy_settings Settings, deployment_adapter &Adapter)
    : Implementation(
          std::make_unique<implementation>(std::move(Settings), Adapter)) {}

proxy_node::~proxy_node() = default;

void proxy_node::start() { Implementation->start(); }

bool proxy_node::stop() { return Implementation->stop(); }

} // namespace clementine::proxy
