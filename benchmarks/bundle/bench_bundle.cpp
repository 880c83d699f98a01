/// Measures the policy look-up, which runs for each request, and the parsing of
/// a whole bundle and the application of a delta, which run for each accepted
/// version.
#include "clementine_bundle/clementine_bundle.h"
#include "clementine_core/random/random_source.h"

#include <benchmark/benchmark.h>

#include <string>

namespace {

using namespace clementine;

constexpr std::size_t Operations = 50;
/// One caller in this many has its own rule.
constexpr std::size_t CallersPerRule = 10;

std::string callerName(std::size_t Index) {
  return "caller-" + std::to_string(Index);
}

std::string operationName(std::size_t Index) {
  return "operation-" + std::to_string(Index);
}

std::string textWith(std::size_t Callers, const std::string &FirstRate) {
  std::string Text = "[bundle]\nformat = 1\nname = bench\n[service desk]\n";
  for (std::size_t Index = 0; Index < Operations; ++Index)
    Text += "[operation desk " + operationName(Index) + "]\nrepeatable = no\n";
  for (std::size_t Index = 0; Index < Callers; ++Index)
    Text += "[caller " + callerName(Index) + "]\nowner = night-desk\nrate = " +
            (Index == 0 ? FirstRate : "200/s") + "\n";
  for (std::size_t Index = 0; Index < Callers; Index += CallersPerRule)
    Text += "[rule " + callerName(Index) + " desk operation-0]\nrate = 9/s\n";
  return Text;
}

void decide(benchmark::State &State) {
  const auto Callers = static_cast<std::size_t>(State.range(0));
  const bundle Bundle = bundle::parse(textWith(Callers, "100/s")).value();
  std::vector<std::string> CallerNames;
  for (std::size_t Index = 0; Index < Callers; ++Index)
    CallerNames.push_back(callerName(Index));
  std::vector<std::string> OperationNames;
  for (std::size_t Index = 0; Index < Operations; ++Index)
    OperationNames.push_back(operationName(Index));
  seeded_random Random(1);
  for ([[maybe_unused]] auto Each : State) {
    const std::uint64_t Bits = Random.next();
    benchmark::DoNotOptimize(
        Bundle.decide(CallerNames[Bits % Callers], "desk",
                      OperationNames[(Bits >> 32U) % Operations]));
  }
}

void parseWhole(benchmark::State &State) {
  const auto Callers = static_cast<std::size_t>(State.range(0));
  const std::string Text = textWith(Callers, "100/s");
  for ([[maybe_unused]] auto Each : State)
    benchmark::DoNotOptimize(bundle::parse(Text));
  State.counters["bytes"] = static_cast<double>(Text.size());
}

void applyOneChange(benchmark::State &State) {
  const auto Callers = static_cast<std::size_t>(State.range(0));
  const bundle Before = bundle::parse(textWith(Callers, "100/s")).value();
  const bundle After = bundle::parse(textWith(Callers, "101/s")).value();
  const bundle_delta Delta = deltaBetween(Before, After);
  for ([[maybe_unused]] auto Each : State)
    benchmark::DoNotOptimize(applyDelta(Before, Delta));
  State.counters["delta_bytes"] = static_cast<double>(Delta.Changed.size());
}

} // namespace

BENCHMARK(decide)->Arg(10)->Arg(1'000)->Arg(10'000);
BENCHMARK(parseWhole)
    ->Arg(10)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(applyOneChange)
    ->Arg(10)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
