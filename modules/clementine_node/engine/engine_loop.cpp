#include "clementine_node/engine/engine_loop.h"

#include <utility>

namespace clementine {

namespace {

constexpr std::size_t EventCapacity = 1U << 15U;
/// Minimum time between two timer ticks of the engine.
constexpr std::chrono::milliseconds TickInterval{5};

} // namespace

engine_loop::engine_loop(request_engine_settings Settings,
                         request_engine_ports Ports,
                         std::unique_ptr<concurrency_limiter> Limiter,
                         std::uint64_t RandomSeed, const clock &Clock,
                         service_listener OnService)
    : Clock(Clock), OnService(std::move(OnService)), Events(EventCapacity),
      Random(RandomSeed),
      Engine(std::move(Settings), Ports, std::move(Limiter), Random),
      Task(
          "engine",
          [this](const std::atomic<bool> &Stopping) { run(Stopping); },
          [this] { Events.close(); }, {}) {}

engine_loop::~engine_loop() { engine_loop::stop(); }

void engine_loop::stop() { Task.stop(); }

void engine_loop::push(node_event Event) { Events.push(std::move(Event)); }

engine_statistics engine_loop::statistics() const {
  const std::lock_guard Lock(StatisticsMutex);
  return Statistics;
}

void engine_loop::run(const std::atomic<bool> &Stopping) {
  while (!Stopping) {
    for (node_event &Event : Events.takeAll(TickInterval))
      execute(Event, Clock.now());
    const instant Now = Clock.now();
    if (Now < NextTick)
      continue;
    NextTick = Now + TickInterval;
    Engine.onTick(Now);
    publishStatistics();
  }
}

void engine_loop::execute(node_event &Event, instant Now) {
  if (auto *Request = std::get_if<caller_request>(&Event)) {
    if (RequestedServices.insert(Request->Service).second)
      OnService(Request->Service);
    Engine.callerRequested(std::move(*Request), Now);
  } else if (auto *Message = std::get_if<message_event>(&Event)) {
    Engine.messageArrived(Message->Link, std::move(Message->Message), Now);
  } else if (const auto *Up = std::get_if<link_up_event>(&Event)) {
    Engine.linkUp(Up->Link, Up->Peer, Now);
  } else if (const auto *Down = std::get_if<link_down_event>(&Event)) {
    Engine.linkDown(Down->Link, Down->WasUp, Now);
  } else if (const auto *Result = std::get_if<upstream_result>(&Event)) {
    Engine.upstreamCallEnded(*Result, Now);
  } else if (const auto *Claim = std::get_if<claim_result>(&Event)) {
    Engine.claimEnded(*Claim, Now);
  } else if (auto *Bundle = std::get_if<bundle_event>(&Event)) {
    Engine.bundleAccepted(std::move(Bundle->Accepted));
  } else if (auto *Directory = std::get_if<directory_event>(&Event)) {
    Engine.directoryChanged(std::move(Directory->View), Now);
  } else if (auto *Announce = std::get_if<announce_event>(&Event)) {
    Engine.upstreamAnnounced(std::move(Announce->Service));
  } else if (std::holds_alternative<drain_event>(Event)) {
    Engine.drain(Now);
  }
}

void engine_loop::publishStatistics() {
  const std::lock_guard Lock(StatisticsMutex);
  Statistics.ActiveCalls = Engine.entry().activeCalls();
  Statistics.ActiveRuns = Engine.gate().activeRuns();
  Statistics.Running = Engine.admission().running();
  Statistics.Queued = Engine.admission().queued();
  Statistics.Limit = Engine.admission().limit();
  Statistics.LevelIndex = Engine.admission().level().index();
  Statistics.MeanServiceTime = Engine.admission().meanServiceTime();
  Statistics.IsDraining = Engine.isDraining();
}

} // namespace clementine
