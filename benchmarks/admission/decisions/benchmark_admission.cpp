#include "clementine_admission/clementine_admission.h"
#include "clementine_core/random/random_source.h"
#include "clementine_routing/clementine_routing.h"

#include <benchmark/benchmark.h>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

constexpr instant Start{100s};

admission_ticket ticket(std::uint64_t Id) {
  return {{0, Id}, importance::Normal, mixBits(Id), 0, Start + 1h};
}

/// Measures offering one ticket and completing another while the queue is full.
void offerAndComplete(benchmark::State &State) {
  const auto Queued = static_cast<std::size_t>(State.range(0));
  admission_gate_settings Settings;
  Settings.QueuedPerSlot = 0;
  Settings.MinimumQueueLength = Queued;
  adaptive_limiter_settings Learned;
  Learned.InitialLimit = Learned.LowestLimit = Learned.HighestLimit = 64;
  admission_gate Gate(Settings, std::make_unique<adaptive_limiter>(Learned));
  std::vector<request_id> Running;
  std::uint64_t Id = 0;
  while (Gate.running() < 64) {
    Running.push_back({0, ++Id});
    Gate.offer(ticket(Id), Start);
  }
  while (Gate.queued() < Queued)
    Gate.offer(ticket(++Id), Start);
  instant Now = Start;
  std::size_t Next = 0;
  while (State.KeepRunning()) {
    Now += 10us;
    const offer_decision Decision = Gate.offer(ticket(++Id), Now);
    benchmark::DoNotOptimize(Decision);
    const gate_actions Actions =
        Gate.complete(Running[Next], {work_outcome::Completed, 0ns}, Now);
    if (!Actions.Started.empty())
      Running[Next] = Actions.Started.front().RequestId;
    Next = (Next + 1) % Running.size();
    if (Gate.queued() < Queued)
      Gate.offer(ticket(++Id), Now);
  }
}
BENCHMARK(offerAndComplete)->RangeMultiplier(10)->Range(10, 10000);

/// Measures one routing decision and the processing of its response.
void chooseAndAnswer(benchmark::State &State) {
  seeded_random Random(1);
  route_settings Settings;
  Settings.OwnName = "entry";
  Settings.OwnDataCentre = "fukuoka";
  route_chooser Chooser(Settings, Random);
  std::vector<route_candidate> Candidates;
  for (std::int64_t Index = 0; Index < State.range(0); ++Index)
    Candidates.push_back({{"node-" + std::to_string(Index), 1}, "fukuoka"});
  Chooser.setCandidates(Candidates, Start);
  const route_request Request{{importance::Normal, 1ULL << 60U}, {}};
  instant Now = Start;
  while (State.KeepRunning()) {
    Now += 10us;
    const auto Choice = Chooser.choose(Request, Now);
    Chooser.onSend(Choice.value().Node, Now);
    Chooser.onAnswer(Choice.value().Node, answer_kind::Completed, 5ms, {}, Now);
  }
}
BENCHMARK(chooseAndAnswer)->RangeMultiplier(10)->Range(10, 10000);

/// Measures the worst case of a routing decision: every instance would refuse
/// the call, so that all are examined.
void chooseWhenAllWouldRefuse(benchmark::State &State) {
  seeded_random Random(1);
  route_settings Settings;
  Settings.OwnName = "entry";
  Settings.OwnDataCentre = "fukuoka";
  route_chooser Chooser(Settings, Random);
  std::vector<route_candidate> Candidates;
  for (std::int64_t Index = 0; Index < State.range(0); ++Index)
    Candidates.push_back({{"node-" + std::to_string(Index), 1}, "fukuoka"});
  Chooser.setCandidates(Candidates, Start);
  for (const route_candidate &Candidate : Candidates)
    Chooser.onAnswer(Candidate.Node, answer_kind::Refused, 0ms,
                     {importance::Critical, 0}, Start);
  const route_request Request{{importance::Normal, 1ULL << 60U}, {}};
  while (State.KeepRunning())
    benchmark::DoNotOptimize(Chooser.choose(Request, Start + 1ms));
}
BENCHMARK(chooseWhenAllWouldRefuse)->RangeMultiplier(10)->Range(10, 10000);

/// Measures admitting and ending one request under per-caller limits.
void callerBeginAndEnd(benchmark::State &State) {
  caller_limits Limits(caller_limits_settings{});
  std::vector<std::string> Names;
  for (std::int64_t Index = 0; Index < State.range(0); ++Index) {
    Names.push_back("caller-" + std::to_string(Index));
    Limits.setLimit(Names.back(),
                    {.Rate = 1e12, .Concurrency = 1e6, .CostRate = 1e12});
  }
  instant Now = Start;
  std::size_t Next = 0;
  while (State.KeepRunning()) {
    Now += 10us;
    const std::string &Caller = Names[Next];
    benchmark::DoNotOptimize(Limits.begin(Caller, 1.0, Now));
    Limits.end(Caller);
    Next = (Next + 1) % Names.size();
  }
}
BENCHMARK(callerBeginAndEnd)->RangeMultiplier(10)->Range(10, 10000);

} // namespace
