#ifndef CLEMENTINE_NODE_ENGINE_ENGINE_LOOP_H
#define CLEMENTINE_NODE_ENGINE_ENGINE_LOOP_H

#include "clementine_core/clementine_core.h"
#include "clementine_node/engine/node_event.h"
#include "clementine_request/clementine_request.h"

#include <atomic>
#include <functional>
#include <memory>
#include <set>

namespace clementine {

/// State of the engine that other threads may read.
struct engine_statistics {
  std::size_t ActiveCalls = 0;
  std::size_t ActiveRuns = 0;
  std::size_t Running = 0;
  std::size_t Queued = 0;
  std::size_t Limit = 0;
  std::size_t LevelIndex = 0;
  duration MeanServiceTime{0};
  bool IsDraining = false;

  bool operator==(const engine_statistics &) const = default;
};

/// Runs a request_engine on its own thread, with one bounded ring for its
/// events.
class engine_loop final : public supervised {
public:
  /// Called on the engine's thread when a service is requested for the first
  /// time, so that the membership can follow it.
  using service_listener = std::function<void(const std::string &Service)>;

  engine_loop(request_engine_settings Settings, request_engine_ports Ports,
              std::unique_ptr<concurrency_limiter> Limiter,
              std::uint64_t RandomSeed, const clock &Clock,
              service_listener OnService);
  ~engine_loop() override;

  engine_loop(const engine_loop &) = delete;
  engine_loop &operator=(const engine_loop &) = delete;

  const std::string &name() const override { return Task.name(); }
  void start() override { Task.start(); }
  void stop() override;

  /// Queues an event.
  /// @returns false, leaving @p Event unchanged, when the ring is full.
  bool tryPush(node_event &&Event) { return Events.tryPush(std::move(Event)); }

  /// Queues an event that must not be lost; blocks while the ring is full.
  void push(node_event Event);

  /// @returns the statistics as of the engine's last tick.
  engine_statistics statistics() const;

private:
  void run(const std::atomic<bool> &Stopping);
  void execute(node_event &Event, instant Now);
  void publishStatistics();

  const clock &Clock;
  const service_listener OnService;
  bounded_ring<node_event> Events;
  seeded_random Random;
  request_engine Engine;
  std::set<std::string> RequestedServices;
  instant NextTick{};
  mutable std::mutex StatisticsMutex;
  engine_statistics Statistics;
  supervised_task Task;
};

} // namespace clementine

#endif
