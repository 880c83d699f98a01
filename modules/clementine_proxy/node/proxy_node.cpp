#include "clementine_proxy/node/proxy_node.h"

#include "clementine_proxy/entry/forwarder.h"
#include "clementine_proxy/gate/instance_client.h"
#include "clementine_proxy/http/http_session.h"
#include "clementine_proxy/model/boot_clock.h"
#include "clementine_proxy/node/caller_request_handler.h"
#include "clementine_proxy/node/component_settings.h"
#include "clementine_proxy/node/config_exchange.h"
#include "clementine_proxy/node/critical_task.h"
#include "clementine_proxy/node/decision_timer.h"
#include "clementine_proxy/node/instance_report_handler.h"
#include "clementine_proxy/node/node_status_publisher.h"
#include "clementine_proxy/node/operator_endpoints.h"
#include "clementine_proxy/node/store_synchronizer.h"
#include "clementine_proxy/peers/peer_hub.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <future>
#include <random>
#include <utility>

namespace clementine::proxy {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds HousekeepingInterval{200};
/// How long callers take to turn away from a node that is not ready: two missed
/// probes and a margin.
constexpr std::chrono::milliseconds TurnAwayTime{2600};
/// How much of the grace is kept for the stop itself.
constexpr std::chrono::milliseconds StopMargin{800};
/// A call to the store ends up to a second after it is interrupted, so that is
/// done so long before the end of the grace, while requests still finish.
constexpr std::chrono::milliseconds StoreMargin{2200};
constexpr std::chrono::milliseconds StopPoll{20};
/// How long a starting node waits for its former process's record.
constexpr std::chrono::milliseconds FormerRecordWait{1000};
constexpr std::size_t ControlConnections = 64;

std::uint64_t randomSeed() {
  std::random_device Device;
  return (std::uint64_t{Device()} << 32U) | Device();
}

std::uint64_t wallMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace

/// The parts and the wires between them. Everything but the duties of the store
/// runs on the loop's thread.
class proxy_node::implementation final : private peer_hub_listener,
                                         private forward_port,
                                         private gate_port,
                                         private store_listener {
public:
  implementation(proxy_settings Given, deployment_adapter &Adapter)
      : Settings(std::move(Given)), Adapter(Adapter), Random(randomSeed()),
        Book(Settings.Service, Settings.InstanceAddress), Gate({}, Book, *this),
        Client(Loop, clientSettingsOf(Settings), Adapter.headers(),
               [this](const attempt_id &Attempt, instance_result Result) {
                 Gate.instanceEnded(Attempt, std::move(Result), now());
                 schedule();
               }),
        Directory(directorySettingsOf(Settings), Random),
        Forwarder(forwarderSettingsOf(Settings), Adapter.headers(), Directory,
                  *this, Random),
        Peers(Loop, {}, Settings.PeerListen, *this),
        Decisions(Loop, Forwarder, Gate), Housekeeping(Loop),
        Configs(Forwarder, Peers),
        Callers(Forwarder, Metrics, [this] { schedule(); }),
        Instances(Book, [this](bool IsNewRun) { instanceChanged(IsNewRun); }),
        Outbound(Loop, Settings.OutboundListen, Callers,
                 Settings.MaxConnections),
        ControlHandler(Adapter,
                       [this](const instance_call_content &Content) {
                         return Instances.take(Content);
                       }),
        ReadyHandler(Adapter, [this] { return isReady(); }),
        MetricsHandler(Metrics), Control(Loop, Settings.ControlListen,
                                         ControlHandler, ControlConnections),
        Ready(Loop, Settings.ReadyListen, ReadyHandler, ControlConnections),
        MetricsServer(Loop, Settings.MetricsListen, MetricsHandler,
                      ControlConnections),
        Store(Adapter, Loop, Settings.Name, Metrics, *this),
        Portrait({Settings, Book, Gate, Directory, Peers, Store},
                 wallMilliseconds()),
        Root("proxy") {
    Book.hold();
    arrange();
  }

  void start() {
    Peers.start();
    Outbound.start();
    Control.start();
    Ready.start();
    MetricsServer.start();
    houseKeep();
    Portrait.publish();
    Root.start();
    Log.info("node started", {{"node", Settings.Name},
                              {"zone", Settings.Zone},
                              {"service", Settings.Service},
                              {"incarnation", Portrait.incarnation()},
                              {"version", CLEMENTINE_VERSION}});
  }

  bool stop() {
    const instant Begun = now();
    Log.info("node is leaving");
    runOnLoop([this] { leave(); });
    const instant End = Begun + Settings.StopGrace - StopMargin;
    const instant StoreEnd = Begun + Settings.StopGrace - StoreMargin;
    bool IsFinished = false;
    while (!IsFinished && now() < End) {
      std::this_thread::sleep_for(StopPoll);
      runOnLoop([&] { IsFinished = isIdle(); });
      if (IsFinished || now() >= StoreEnd)
        Adapter.store().interrupt();
    }
    runOnLoop([this] { close(); });
    Root.stop();
    Log.info("node stopped", {{"finished", IsFinished ? 1 : 0}});
    return IsFinished;
  }

private:
  static instant now() { return boot_clock().now(); }

  template <class Action> void runOnLoop(const Action &Todo) {
    std::promise<void> Done;
    asio::post(Loop, [&] {
      Todo();
      Done.set_value();
    });
    Done.get_future().wait();
  }

  /// The loop starts first and stops last: the duties of the store post to it.
  void arrange() {
    Root.add(makeCriticalTask(
        "loop", [this](const auto &) { Loop.run(); }, [this] { Loop.stop(); }));
    Root.add(Store.duties());
  }

  /// @name store_listener
  void configRead(const std::shared_ptr<const routing_config> &Config,
                  platform_revision Revision) override {
    Configs.use(Config, "store", Revision);
  }

  void recordsListed(const std::vector<node_record> &Records) override {
    Directory.replaceAll(Records, now());
    const auto Own =
        std::ranges::find(Records, Settings.Name, &node_record::Node);
    Instances.begin(Own == Records.end() ? std::nullopt : Own->Departed);
  }

  void recordChanged(const node_record &Record) override {
    Directory.record(Record);
  }

  void recordVanished(const std::string &Node) override {
    Directory.vanished(Node, now());
  }

  void instanceChanged(bool IsNewRun) {
    if (IsNewRun)
      Client.dropIdle();
    Gate.instanceChanged(now());
    Portrait.instanceChanged(now());
    schedule();
  }

  /// @name peer_hub_listener
  peer_hello hello() override {
    return {Portrait.record(), Forwarder.configVersion(),
            Portrait.status(now())};
  }

  peer_status status() override {
    return {Forwarder.configVersion(), Portrait.status(now())};
  }

  void peerUp(const std::string &Node, const peer_hello &Hello) override {
    Directory.up(Node, Hello);
    Forwarder.linkUp(Node, Hello.Self.Incarnation, now());
    Configs.heardOf(Node, Hello.ConfigVersion, now());
    schedule();
  }

  void peerDown(const std::string &Node, bool WasUp) override {
    Forwarder.linkDown(Node, WasUp, now());
    schedule();
  }

  void peerSilent(const std::string &Node) override {
    Directory.silent(Node, now());
    Forwarder.linkSilent(Node, now());
    schedule();
  }

  void peerReplied(const std::string &Node, peer_message Message) override {
    if (auto *Report = std::get_if<run_report>(&Message)) {
      Configs.heardOf(Node, Report->ConfigVersion, now());
      Forwarder.reported(Node, std::move(*Report), now());
      schedule();
    } else if (const auto *Status = std::get_if<peer_status>(&Message)) {
      Directory.status(Node, Status->Gate);
      Configs.heardOf(Node, Status->ConfigVersion, now());
    } else if (auto *Transfer = std::get_if<config_transfer>(&Message)) {
      Configs.use(
          std::make_shared<const routing_config>(std::move(Transfer->Config)),
          Node, 0);
    }
  }

  void peerAsked(std::uint64_t Link, peer_message Message) override {
    const instant Now = now();
    if (auto *Order = std::get_if<run_order>(&Message))
      Gate.order(Link, std::move(*Order), Now);
    else if (const auto *Query = std::get_if<run_query>(&Message))
      Gate.query(Link, *Query, Now);
    else if (const auto *Cancel = std::get_if<run_cancel>(&Message))
      Gate.cancel(*Cancel, Now);
    else if (std::holds_alternative<config_request>(Message))
      Configs.asked(Link);
    else if (const auto *Hello = std::get_if<peer_hello>(&Message))
      learnFrom(*Hello);
    schedule();
  }

  /// The store may be away, or tell of a new process of that node later.
  void learnFrom(const peer_hello &Hello) {
    const known_gate *Gate = Directory.find(Hello.Self.Node);
    if (Gate == nullptr || Gate->Record.Incarnation < Hello.Self.Incarnation)
      Directory.record(Hello.Self);
    Gate = Directory.find(Hello.Self.Node);
    if (Hello.ConfigVersion > Forwarder.configVersion() && Gate != nullptr)
      Peers.open(Hello.Self.Node, Gate->Record.Peer);
  }

  /// @name forward_port
  bool openLink(const node_record &Target) override {
    return Target.Node == Settings.Name || Peers.open(Target.Node, Target.Peer);
  }

  void send(const std::string &Node, peer_message Message) override {
    if (Node == Settings.Name)
      asio::post(Loop, [this, Message = std::move(Message)]() mutable {
        peerAsked(OwnEntryLink, std::move(Message));
      });
    else
      Peers.sendTo(Node, Message);
  }

  void answer(call_number Call, response Response) override {
    Callers.answer(Call, std::move(Response));
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
      if (Portrait.isLeaving())
        Report.Gate.Instance.clear();
      return Peers.reply(Link, Report);
    }
    asio::post(Loop, [this, Report = std::move(Report)]() mutable {
      Forwarder.reported(Settings.Name, std::move(Report), now());
      schedule();
    });
  }

  bool isReady() const {
    return !Portrait.isLeaving() && Forwarder.config() != nullptr;
  }

  void schedule() { Decisions.schedule(); }
  void houseKeep() {
    const instant Now = now();
    for (const std::string &Node : Directory.prune(
             [this](const std::string &Name) {
               return Name == Settings.Name || Peers.isUp(Name);
             },
             Now)) {
      Log.info("node dropped", {{"node", Node}});
      Peers.forget(Node);
    }
    Forwarder.reopenLinks();
    if (Book.isHeld() && Now - StartedAt > FormerRecordWait)
      Instances.begin(std::nullopt);
    Decisions.passTime(Now);
    if (Portrait.isLeaving() && !IsTurnedAway &&
        Now - LeavingSince > TurnAwayTime)
      turnAway();
    Housekeeping.expires_after(HousekeepingInterval);
    Housekeeping.async_wait([this](const auto &Error) {
      if (!Error)
        houseKeep();
    });
  }

  /// @name The stop
  void leave() {
    LeavingSince = now();
    Portrait.leave();
  }

  /// Takes no new connection, and ends each kept one after its answer: what is
  /// taken later could not be finished within the grace.
  void turnAway() {
    IsTurnedAway = true;
    Callers.beginClosing();
    Outbound.stop();
    Log.info("callers are turned away", {{"active", Forwarder.active()}});
  }

  bool isIdle() const {
    return IsTurnedAway && Forwarder.active() == 0 && Gate.active() == 0 &&
           !Outbound.isBusy();
  }

  void close() {
    Outbound.stop();
    Control.stop();
    Ready.stop();
    MetricsServer.stop();
    Peers.stop();
    Client.stop();
    Decisions.stop();
    Housekeeping.cancel();
  }

  const proxy_settings Settings;
  deployment_adapter &Adapter;
  const logger Log{"node"};
  seeded_random Random;
  metrics_registry Metrics;
  asio::io_context Loop{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work{
      Loop.get_executor()};
  instance_book Book;
  instance_gate Gate;
  instance_client Client;
  instance_directory Directory;
  forwarder Forwarder;
  peer_hub Peers;
  decision_timer Decisions;
  asio::steady_timer Housekeeping;
  config_exchange Configs;
  caller_request_handler Callers;
  instance_report_handler Instances;
  http_listener Outbound;
  control_endpoint ControlHandler;
  readiness_endpoint ReadyHandler;
  metrics_endpoint MetricsHandler;
  http_listener Control;
  http_listener Ready;
  http_listener MetricsServer;
  store_synchronizer Store;
  node_status_publisher Portrait;
  supervisor Root;
  const instant StartedAt = now();
  bool IsTurnedAway = false;
  instant LeavingSince;
};

proxy_node::proxy_node(proxy_settings Settings, deployment_adapter &Adapter)
    : Implementation(
          std::make_unique<implementation>(std::move(Settings), Adapter)) {}

proxy_node::~proxy_node() = default;

void proxy_node::start() { Implementation->start(); }

bool proxy_node::stop() { return Implementation->stop(); }

} // namespace clementine::proxy
