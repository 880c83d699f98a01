#include "clementine_load/run/experiment.h"

#include "clementine_core/random/random_source.h"
#include "clementine_load/decisions/arrival_schedule.h"
#include "clementine_load/run/load_client.h"

#include <algorithm>
#include <iterator>
#include <thread>

namespace clementine::load {

namespace {

/// The delay before the run begins, so that all threads have started.
constexpr std::chrono::milliseconds StartPause(100);

/// The begin or end of a fault.
struct fault_step {
  duration At{0};
  bool IsBegin = true;
  scheduled_fault Fault;
};

std::vector<fault_step> scheduleFaults(const scenario &Scenario) {
  std::vector<fault_step> Steps;
  for (const scheduled_fault &Fault : Scenario.Faults) {
    Steps.push_back({Fault.At, true, Fault});
    if (Fault.Until > Fault.At)
      Steps.push_back({Fault.Until, false, Fault});
  }
  std::stable_sort(Steps.begin(), Steps.end(),
                   [](const fault_step &Left, const fault_step &Right) {
                     return Left.At < Right.At;
                   });
  return Steps;
}

/// Distributes the arrivals over the threads in round-robin order.
std::vector<std::vector<arrival>> distributeArrivals(const scenario &Scenario) {
  std::vector<std::vector<arrival>> Shares(Scenario.Threads);
  const auto Arrivals = scheduleArrivals(Scenario);
  for (std::size_t Index = 0; Index < Arrivals.size(); ++Index)
    Shares[Index % Shares.size()].push_back(Arrivals[Index]);
  return Shares;
}

} // namespace

experiment_result runExperiment(const deployment &Deployment,
                                const scenario &Scenario,
                                running_deployment &Running) {
  const auto NodeUrls = Running.nodeUrls();
  const auto Shares = distributeArrivals(Scenario);
  std::vector<std::vector<request_record>> Records(Shares.size());
  experiment_result Result;
  Result.Begin = std::chrono::steady_clock::now() + StartPause;
  std::vector<std::thread> Threads;
  Threads.reserve(Shares.size());
  for (std::size_t Index = 0; Index < Shares.size(); ++Index)
    Threads.emplace_back([&, Index] {
      load_client Client(Deployment, Scenario, NodeUrls,
                         mixBits(Scenario.Seed * 7919 + Index));
      Records[Index] = Client.run(Result.Begin, Shares[Index]);
    });
  for (const fault_step &Step : scheduleFaults(Scenario)) {
    std::this_thread::sleep_until(Result.Begin + Step.At);
    Running.apply(Step.Fault, Step.IsBegin);
  }
  for (std::thread &Thread : Threads)
    Thread.join();
  for (auto &Share : Records)
    std::move(Share.begin(), Share.end(), std::back_inserter(Result.Requests));
  return Result;
}

} // namespace clementine::load
