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

/// What other threads may read of the engine.
struct engine_figures {
  std::size_t ActiveCalls = 0;
  std::size_t ActiveRuns = 0;
  std::size_t Running = 0;
  std::size_t Queued = 0;
  std::size_t Limit = 0;
  std::size_t LevelIndex = 0;
  duration MeanServiceTime{0};
  bool IsDraining = false;

  bool operator==(const engine_figures &) const = default;
};

/// Runs a request_engine on a thread of its own, fed by one bounded ring.
class engine_loop final : public supervised {
public:
  /// Called on the engine's thread with the names of services that were asked
  /// for and are not in the directory's wanted set yet.
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

  /// Hands over an event.
  /// @returns false, leaving @p Event as it was, when the ring is full.
  bool tryPush(node_event &&Event) { return Events.tryPush(std::move(Event)); }

  /// Hands over an event that must not be lost; waits while the ring is full.
  void push(node_event Event);

  /// @returns figures of the last round of the loop.
  engine_figures figures() const;

private:
  void run(const std::atomic<bool> &Stopping);
  void execute(node_event &Event, instant Now);
  void publish();

  const clock &Clock;
  const service_listener OnService;
  bounded_ring<node_event> Events;
  seeded_random Random;
  request_engine Engine;
  std::set<std::string> WantedServices;
  instant NextTick{};
  mutable std::mutex FiguresMutex;
  engine_figures Figures;
  supervised_task Task;
};

} // namespace clementine

#endif
