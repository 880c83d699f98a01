#include "clementine_node/node/node.h"

#include "clementine_admin/clementine_admin.h"
#include "clementine_http/clementine_http.h"
#include "clementine_node/bundles/bundle_synchronizer.h"
#include "clementine_node/callers/caller_frontend.h"
#include "clementine_node/engine/engine_loop.h"
#include "clementine_node/gossip/gossip_task.h"
#include "clementine_node/observe/request_observer.h"
#include "clementine_node/observe/status_publisher.h"
#include "clementine_node/platform/bundle_watch.h"
#include "clementine_node/platform/claim_task.h"
#include "clementine_platform/clementine_platform.h"
#include "clementine_telemetry/clementine_telemetry.h"
#include "clementine_transport/clementine_transport.h"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <random>
#include <utility>

namespace clementine {

namespace {

constexpr std::chrono::milliseconds StopPollInterval{10};
/// Time limit for one POST to the span collector.
constexpr std::chrono::seconds SpanPostTimeout{2};
/// How long a leaving node waits before it refuses new calls, so that its peers
/// learn of its departure first.
constexpr std::chrono::milliseconds LeavePropagationTime{300};

std::uint64_t wallMilliseconds() {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
          .count());
}

std::uint64_t randomSeed() {
  std::random_device Device;
  return (std::uint64_t{Device()} << 32U) | Device();
}

peer_key_ring makeKeyRing(const node_settings &Settings) {
  std::vector<peer_key> Keys;
  for (const named_key &Named : Settings.PeerKeys) {
    peer_key Key;
    Key.Id = Named.Name;
    std::memcpy(Key.Bytes.data(), Named.Bytes.data(), Key.Bytes.size());
    Keys.push_back(Key);
  }
  auto Ring = peer_key_ring::make(Keys);
  if (Ring.has_error())
    throw std::system_error(EINVAL, std::generic_category(),
                            Ring.error().text());
  return std::move(Ring.value());
}

trusted_owners makeTrustedOwners(const node_settings &Settings) {
  trusted_owners Owners;
  for (const named_key &Named : Settings.TrustedKeys) {
    verification_key Key;
    Key.Bytes = Named.Bytes;
    Owners.add(Named.Name, Key);
  }
  return Owners;
}

std::unique_ptr<concurrency_limiter>
makeLimiter(const node_settings &Settings) {
  switch (Settings.Limiter) {
  case limiter_kind::Static:
    return std::make_unique<static_limiter>(Settings.StaticLimit);
  case limiter_kind::None:
    return std::make_unique<unlimited>();
  case limiter_kind::Learned:
    break;
  }
  adaptive_limiter_settings Learned;
  Learned.InitialLimit = Settings.InitialLimit;
  return std::make_unique<adaptive_limiter>(Learned);
}

request_engine_settings makeEngineSettings(const node_settings &Settings,
                                           const node_identity &Self) {
  request_engine_settings Engine;
  Engine.Entry.Self = Self;
  Engine.Entry.DataCentre = Settings.DataCentre;
  Engine.Entry.SampleShare = Settings.SampleShare.Value;
  Engine.Entry.Throttle.Share = Settings.RetryShare.Value;
  Engine.Admission.QueuedPerSlot = Settings.QueuePerSlot.Value;
  Engine.Ledger.MaxKeyedRuns = Settings.LedgerEntries;
  Engine.Ledger.KeyedRunRetention = Settings.LedgerKeep;
  return Engine;
}

gossip_task_settings makeGossipSettings(const node_settings &Settings,
                                        const node_identity &Self) {
  gossip_task_settings Gossip;
  Gossip.Self.Identity = Self;
  Gossip.Self.DataCentre = Settings.DataCentre;
  Gossip.Self.Gossip = Settings.GossipListen;
  Gossip.Self.Peer = Settings.PeerListen;
  Gossip.Self.Http = Settings.HttpListen;
  Gossip.Self.State = member_state::Alive;
  Gossip.Membership.SuspicionMultiplier = Settings.SuspicionMultiplier.Value;
  Gossip.Membership.ProbeInterval = Settings.ProbeInterval;
  Gossip.Membership.BytesPerSecond =
      static_cast<double>(Settings.GossipBytesPerSecond.Bytes);
  Gossip.Seeds = Settings.Seeds;
  Gossip.RandomSeed = randomSeed();
  return Gossip;
}

http_server_settings makeCallerServerSettings(const node_settings &Settings) {
  http_server_settings Server;
  Server.Listen = Settings.HttpListen;
  Server.LargestBody = Settings.BodyBytes.Bytes;
  Server.MostConnections = static_cast<unsigned>(Settings.CallerConnections);
  return Server;
}

std::unique_ptr<platform_store>
makePlatformStore(const node_settings &Settings) {
  if (!Settings.PlatformUrl)
    return nullptr;
  http_channel::limits Limits;
  Limits.CallTimeout = Settings.PlatformTimeout;
  return std::make_unique<etcd_platform_store>(Settings.PlatformUrl->Text,
                                               Limits);
}

std::unique_ptr<span_exporter> makeSpanExporter(const node_settings &Settings,
                                                metrics_registry &Metrics) {
  if (!Settings.SpanCollector)
    return nullptr;
  return std::make_unique<span_exporter>(
      span_resource{"clementined", Settings.Name, Settings.DataCentre},
      std::make_unique<http_span_transport>(Settings.SpanCollector->Text,
                                            SpanPostTimeout),
      Metrics, supervised_task::escalation_handler{}, span_exporter::limits{});
}

std::vector<std::string> liveNodesOf(const member_view &View) {
  std::vector<std::string> Names;
  for (const shared_member &Member : View.Local)
    if (Member->State == member_state::Alive ||
        Member->State == member_state::Warming)
      Names.push_back(Member->Identity.Name);
  return Names;
}

} // namespace

/// Owns the components and connects them. Listeners are called on the tasks'
/// threads and only push events.
class node::implementation final : private peer_link_listener,
                                   private upstream_listener,
                                   private frontend_listener {
public:
  explicit implementation(const node_settings &Settings)
      : Settings(Settings), Self{Settings.Name,
                                 firstIncarnation(wallMilliseconds())},
        Keys(makeKeyRing(Settings)), Spans(makeSpanExporter(Settings, Metrics)),
        Usage(Clock), Observer(Metrics, Usage, spanListener()),
        Platform(makePlatformStore(Settings)),
        Peers({Settings.PeerListen}, Self, Keys, randomSeed(), Clock, *this),
        Upstream({static_cast<unsigned>(Settings.UpstreamConnections)}, *this),
        Frontend(*this),
        Bundles(
            makeTrustedOwners(Settings), Peers, Clock,
            [this](const auto &NewBundle) { bundleChanged(NewBundle); },
            [this](const auto &Refusal) { bundleRefused(Refusal); }),
        Claims(Platform.get(), randomSeed(), Clock,
               [this](claim_result Result) { Engine.push(std::move(Result)); }),
        Gossip(makeGossipSettings(Settings, Self), Keys, Clock,
               [this](const member_view &View) { viewChanged(View); }),
        Engine(makeEngineSettings(Settings, Self),
               {Peers, Frontend, Claims, Upstream, Observer, Observer},
               makeLimiter(Settings), randomSeed(), Clock,
               [this](const std::string &Service) {
                 Gossip.watchService(Service);
               }),
        Server("http", makeCallerServerSettings(Settings), Frontend),
        Status({Self, Settings.DataCentre, Engine, Usage,
                [this] { return Bundles.currentBundle(); }},
               Clock),
        Admin(Settings.AdminListen, Status.snapshot(), Metrics), Root("node") {
    if (Platform)
      Watch = std::make_unique<bundle_watch>(*Platform, Bundles, randomSeed(),
                                             Clock);
    buildSupervisorTree();
  }

  void start() {
    Root.start();
    Log.info("node started",
             {{"node", Settings.Name}, {"http", Settings.HttpListen.text()}});
    if (Settings.UpstreamAddress)
      upstreamAnnounced(
          {Settings.UpstreamService, *Settings.UpstreamAddress, false});
  }

  bool stop() {
    Log.info("node is leaving");
    leave();
    std::this_thread::sleep_for(LeavePropagationTime);
    Frontend.refuseNewCalls();
    const bool IsFinished = waitUntilIdle();
    if (!IsFinished)
      Log.warning("stop grace period ended with requests in flight",
                  {{"runs", Engine.statistics().ActiveRuns},
                   {"callers", Frontend.waiting()}});
    Root.stop();
    Log.info("node stopped");
    return IsFinished;
  }

private:
  template <class Component>
  std::shared_ptr<supervised> unowned(Component &Object) {
    // The components are members; the tree only orders their starts and stops.
    return {std::shared_ptr<void>(), &Object};
  }

  request_observer::span_listener spanListener() {
    if (!Spans)
      return {};
    return [this](span Span) { Spans->offer(std::move(Span)); };
  }

  /// Components that serve requests start last and stop first.
  void buildSupervisorTree() {
    auto Control = std::make_shared<supervisor>("control");
    if (Spans)
      Control->add(unowned(*Spans));
    Control->add(unowned(Bundles));
    Control->add(unowned(Gossip));
    if (Watch)
      Control->add(unowned(*Watch));
    Control->add(unowned(Claims));
    auto Operators = std::make_shared<supervisor>("operators");
    Operators->add(unowned(Status));
    Operators->add(unowned(Admin));
    auto Requests = std::make_shared<supervisor>("requests");
    Requests->add(unowned(Engine));
    Requests->add(unowned(Upstream));
    Requests->add(unowned(Peers));
    Requests->add(unowned(Server));
    Root.add(Operators);
    Root.add(Control);
    Root.add(Requests);
  }

  void leave() {
    Gossip.leave();
    Engine.push(drain_event{});
  }

  bool waitUntilIdle() {
    const instant End = Clock.now() + Settings.StopGrace;
    while (Clock.now() < End) {
      const engine_statistics Statistics = Engine.statistics();
      if (Statistics.IsDraining && Statistics.ActiveRuns == 0 &&
          Statistics.ActiveCalls == 0 && Server.inProgress() == 0)
        return true;
      std::this_thread::sleep_for(StopPollInterval);
    }
    return false;
  }

  // Called on the transport's thread.
  bool linkUp(link_id Link, const node_identity &Peer) override {
    if (isBundleLink(Link))
      Bundles.linkUp(Link);
    else if (Link < FirstAcceptedLink)
      return Engine.tryPush(link_up_event{Link, Peer});
    return true;
  }

  bool linkDown(link_id Link, bool WasUp) override {
    if (isBundleLink(Link))
      Bundles.linkDown(Link);
    else if (Link < FirstAcceptedLink)
      return Engine.tryPush(link_down_event{Link, WasUp});
    return true;
  }

  bool messageArrived(link_id Link, peer_message &Message) override {
    if (const auto *Fetch = std::get_if<bundle_fetch>(&Message)) {
      Bundles.fetchArrived(Link, *Fetch);
      return true;
    }
    if (auto *Transfer = std::get_if<bundle_transfer>(&Message)) {
      Bundles.transferArrived(Link, std::move(*Transfer));
      return true;
    }
    node_event Event = message_event{Link, std::move(Message)};
    if (Engine.tryPush(std::move(Event)))
      return true;
    Message = std::move(std::get<message_event>(Event).Message);
    return false;
  }

  static bool isBundleLink(link_id Link) {
    return Link >= FirstBundleLink && Link < FirstAcceptedLink;
  }

  // Called on the upstream client's thread.
  void upstreamCallEnded(upstream_result Result) override {
    Engine.push(std::move(Result));
  }

  // Called on the HTTP server's threads.
  bool callerRequested(caller_request Request) override {
    return Engine.tryPush(std::move(Request));
  }

  void upstreamAnnounced(const upstream_announcement &Announced) override {
    {
      // An upstream repeats its announcement; only changes are passed on.
      const std::lock_guard Lock(AnnouncedMutex);
      if (LastAnnounced == Announced)
        return;
      LastAnnounced = Announced;
    }
    Log.info("upstream announced", {{"service", Announced.Service},
                                    {"address", Announced.Address.text()}});
    Upstream.setUpstream(Announced.Address);
    Engine.push(announce_event{Announced.Service});
    Gossip.announce(Announced.Service, 0, Announced.IsCold);
  }

  void upstreamDrains() override {
    Log.info("upstream is draining");
    leave();
  }

  // Called on the bundle synchronizer's thread.
  void bundleChanged(const std::shared_ptr<const signed_bundle> &NewBundle) {
    Log.info("bundle in force", {{"version", NewBundle->Head.Version},
                                 {"owner", NewBundle->Head.Owner}});
    Engine.push(bundle_event{
        std::shared_ptr<const bundle>(NewBundle, &NewBundle->Content)});
    std::uint64_t Digest = 0;
    std::memcpy(&Digest, NewBundle->Head.Digest.Bytes.data(), sizeof(Digest));
    Gossip.announceBundle(NewBundle->Head.Version, Digest);
  }

  void bundleRefused(const update_refusal &Refusal) {
    Log.warning("bundle refused", {{"reason", updateFaultName(Refusal.Fault)},
                                   {"offered", Refusal.OfferedVersion},
                                   {"held", Refusal.HeldVersion}});
  }

  // Called on the gossip thread.
  void viewChanged(const member_view &View) {
    Engine.push(directory_event{
        std::make_shared<const service_directory>(makeServiceDirectory(View))});
    if (View.NewestBundle.Peer.Port != 0)
      Bundles.offerArrived(
          {View.NewestBundle.Bundle.Version, View.NewestBundle.Peer});
    Status.viewChanged(View);
    if (Watch)
      Watch->setWatcher(isWatcher(Settings.Name, liveNodesOf(View)));
  }

  const node_settings Settings;
  const monotonic_clock Clock;
  const node_identity Self;
  const peer_key_ring Keys;
  const logger Log{"node"};
  metrics_registry Metrics;
  std::unique_ptr<span_exporter> Spans;
  caller_usage Usage;
  request_observer Observer;
  std::unique_ptr<platform_store> Platform;
  peer_transport Peers;
  upstream_client Upstream;
  caller_frontend Frontend;
  bundle_synchronizer Bundles;
  claim_task Claims;
  gossip_task Gossip;
  std::unique_ptr<bundle_watch> Watch;
  engine_loop Engine;
  http_server Server;
  status_publisher Status;
  admin_server Admin;
  std::mutex AnnouncedMutex;
  upstream_announcement LastAnnounced;
  supervisor Root;
};

node::node(const node_settings &Settings)
    : Implementation(std::make_unique<implementation>(Settings)) {}

node::~node() = default;

void node::start() { Implementation->start(); }

bool node::stop() { return Implementation->stop(); }

} // namespace clementine
