/// Measures the cost of membership for each node at several cluster sizes. All
/// members run without I/O in one process, in virtual time.

#include "virtual_network.h"

#include <tclap/CmdLine.h>

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <sstream>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

/// Size and churn of the target deployment; the measured churn is scaled to one
/// of its data centres.
constexpr double TargetMembers = 1600;
constexpr double TargetFleet = 24000;
constexpr double RestartsPerDay = 9100;
constexpr double FailuresPerDay = 81;
constexpr double SecondsPerDay = 86400;
constexpr double TargetEventsPerSecond = (RestartsPerDay + FailuresPerDay) /
                                         SecondsPerDay * TargetMembers /
                                         TargetFleet;
/// Churn is measured at this higher rate, so that enough events occur, and the
/// result is scaled down.
constexpr double MeasuredEventsPerSecond = 0.2;
constexpr std::size_t Seeds = 3;
constexpr duration Never = duration::max();

double seconds(duration Span) {
  return std::chrono::duration<double>(Span).count();
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

/// Bytes sent and received by each node up to one point in time.
struct byte_sample {
  std::map<std::size_t, std::uint64_t> Bytes;

  explicit byte_sample(const virtual_network &Network) {
    for (const auto &[Index, Node] : Network.Nodes)
      Bytes[Index] = Node.BytesSent + Node.BytesReceived;
  }
};

struct byte_rates {
  double Mean = 0;
  double Worst = 0;
};

/// @returns the bytes per second of the nodes between two samples. Nodes that
/// are missing in @p Before, or whose count has decreased since, are skipped.
byte_rates ratesBetween(const byte_sample &Before, const byte_sample &After,
                        duration Span) {
  byte_rates Rates;
  std::size_t Count = 0;
  for (const auto &[Index, Bytes] : After.Bytes) {
    const auto Found = Before.Bytes.find(Index);
    if (Found == Before.Bytes.end() || Found->second > Bytes)
      continue;
    const double Rate =
        static_cast<double>(Bytes - Found->second) / seconds(Span);
    Rates.Mean += Rate;
    Rates.Worst = std::max(Rates.Worst, Rate);
    ++Count;
  }
  Rates.Mean /= static_cast<double>(std::max<std::size_t>(Count, 1));
  return Rates;
}

/// @returns the fraction of nodes in @p Network whose view meets @p Condition.
template <class Predicate>
double fraction(virtual_network &Network, Predicate Condition) {
  std::size_t Count = 0;
  for (auto &[Index, Node] : Network.Nodes)
    Count += Condition(Node.Member->view()) ? 1 : 0;
  return static_cast<double>(Count) / static_cast<double>(Network.Nodes.size());
}

bool hasState(const member_view &View, std::size_t Index, member_state State) {
  const shared_member Member = View.find("node-" + std::to_string(Index));
  return Member && Member->State == State;
}

std::size_t countAlive(const member_view &View) {
  return static_cast<std::size_t>(
      std::count_if(View.Local.begin(), View.Local.end(), [](const auto &Each) {
        return Each->State == member_state::Alive;
      }));
}

/// Runs @p Network in steps of @p Step until the views of all nodes meet
/// @p Condition.
/// @returns the elapsed virtual time, or Never if @p Limit passed before.
template <class Predicate>
duration runUntilAll(virtual_network &Network, duration Step, duration Limit,
                     Predicate Condition) {
  const instant Begin = Network.Now;
  while (Network.Now - Begin < Limit) {
    Network.run(Step);
    if (fraction(Network, Condition) == 1.0)
      return Network.Now - Begin;
  }
  return Never;
}

std::string formatSeconds(duration Span) {
  if (Span == Never)
    return "never";
  std::ostringstream Out;
  Out.precision(3);
  Out << seconds(Span);
  return Out.str();
}

std::vector<std::size_t> seedIndices() {
  std::vector<std::size_t> Indices;
  for (std::size_t Index = 0; Index < Seeds; ++Index)
    Indices.push_back(Index);
  return Indices;
}

std::string serviceOf(std::size_t Index) {
  // The target has 2.3 instances of each service in each data centre.
  return "service-" + std::to_string(Index * 10 / 23);
}

/// All measurements of one data centre of @p Size members.
class single_data_centre {
public:
  single_data_centre(std::size_t Size, std::uint64_t Seed)
      : Size(Size), HeapBefore(heapBytes()), Network({}, Seed), Random(Seed) {
    for (std::size_t Index = 0; Index < Size; ++Index)
      start(Index);
  }

  void measure() {
    measureStart();
    measureIdle();
    measureChurn();
    measureKill();
    measureLeave();
    measureRackLoss();
  }

private:
  void start(std::size_t Index) {
    Network.start(Index, seedIndices(), "one", serviceOf(Index));
  }

  void measureStart() {
    const duration ConvergenceTime =
        runUntilAll(Network, 1s, 1800s, [&](const member_view &View) {
          return countAlive(View) == Size;
        });
    const byte_sample StartSample(Network);
    double Max = 0;
    double Sum = 0;
    for (const auto &[Index, Bytes] : StartSample.Bytes) {
      Max = std::max(Max, static_cast<double>(Bytes));
      Sum += static_cast<double>(Bytes);
    }
    std::printf("%5zu start     all views full after %s s; KB per node mean "
                "%.1f worst %.1f\n",
                Size, formatSeconds(ConvergenceTime).c_str(),
                Sum / static_cast<double>(Size) / 1024, Max / 1024);
    Network.run(120s);
  }

  void measureIdle() {
    const byte_sample Before(Network);
    const std::clock_t CpuBegin = std::clock();
    constexpr duration Span = 120s;
    Network.run(Span);
    const double CpuSeconds =
        static_cast<double>(std::clock() - CpuBegin) / CLOCKS_PER_SEC;
    const byte_rates Rates = ratesBetween(Before, byte_sample(Network), Span);
    IdleRate = Rates.Mean;
    for (auto &[Index, Node] : Network.Nodes)
      Node.Member->view();
    std::printf("%5zu idle      B/s both directions mean %.0f worst %.0f; "
                "%% of a core %.4f; KB heap per node %.0f\n",
                Size, Rates.Mean, Rates.Worst, percentOfCore(CpuSeconds, Span),
                (heapBytes() - HeapBefore) / static_cast<double>(Size) / 1024);
    std::fflush(stdout);
  }

  double percentOfCore(double CpuSeconds, duration Span) const {
    return 100 * CpuSeconds / seconds(Span) / static_cast<double>(Size);
  }

  /// Restarts nodes as a rolling replacement does: leave, depart, start again.
  /// Failures, about one event in a hundred at the target, are not simulated.
  void measureChurn() {
    constexpr duration Span = 300s;
    constexpr duration Gap = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / MeasuredEventsPerSecond));
    const byte_sample Before(Network);
    const std::clock_t CpuBegin = std::clock();
    const auto Events = static_cast<std::size_t>(Span / Gap);
    for (std::size_t Event = 0; Event < Events; ++Event) {
      const std::size_t Index = Seeds + Random.below(Size - Seeds);
      Network.with(Index,
                   [&](membership &Member) { Member.leave(Network.Now); });
      Network.run(3s);
      Network.depart(Index);
      Network.run(1s);
      start(Index);
      Network.run(Gap - 4s);
      for (auto &[Key, Node] : Network.Nodes)
        Node.Member->view();
    }
    const double CpuSeconds =
        static_cast<double>(std::clock() - CpuBegin) / CLOCKS_PER_SEC;
    const byte_rates Rates = ratesBetween(Before, byte_sample(Network), Span);
    const double PerEvent = (Rates.Mean - IdleRate) / MeasuredEventsPerSecond;
    const double Scale = static_cast<double>(Size) / TargetMembers;
    std::printf("%5zu churn     at %.2f restarts/s: B/s mean %.0f worst %.0f, "
                "%% of a core %.4f; bytes per restart %.0f; at the target's "
                "rate for this size: B/s %.1f\n",
                Size, MeasuredEventsPerSecond, Rates.Mean, Rates.Worst,
                percentOfCore(CpuSeconds, Span), PerEvent,
                IdleRate + PerEvent * TargetEventsPerSecond * Scale);
    std::fflush(stdout);
    Network.run(60s);
  }

  void measureKill() {
    std::string Suspected;
    std::string Dead;
    for (int Round = 0; Round < 3; ++Round) {
      const std::size_t Victim = Seeds + Random.below(Size - Seeds);
      Network.kill(Victim);
      const instant Begin = Network.Now;
      duration FirstSuspicion = Never;
      const duration TimeToAll =
          runUntilAll(Network, 250ms, 300s, [&](const member_view &View) {
            const shared_member Member =
                View.find("node-" + std::to_string(Victim));
            if (FirstSuspicion == Never && Member->State != member_state::Alive)
              FirstSuspicion = Network.Now - Begin;
            return Member->State == member_state::Dead;
          });
      Suspected += " " + formatSeconds(FirstSuspicion);
      Dead += " " + formatSeconds(TimeToAll);
      start(Victim);
      Network.run(30s);
    }
    std::printf("%5zu kill      first suspicion after%s s; dead in all views "
                "after%s s\n",
                Size, Suspected.c_str(), Dead.c_str());
    std::fflush(stdout);
  }

  void measureLeave() {
    std::string Times;
    for (int Round = 0; Round < 5; ++Round) {
      const std::size_t Leaver = Seeds + Random.below(Size - Seeds);
      Network.with(Leaver,
                   [&](membership &Member) { Member.leave(Network.Now); });
      const duration TimeToAll =
          runUntilAll(Network, 100ms, 60s, [&](const member_view &View) {
            return hasState(View, Leaver, member_state::Leaving);
          });
      Times += " " + formatSeconds(TimeToAll);
      Network.depart(Leaver);
      Network.run(2s);
      start(Leaver);
      Network.run(30s);
    }
    std::printf("%5zu leave     seen by all after%s s\n", Size, Times.c_str());
    std::fflush(stdout);
  }

  void measureRackLoss() {
    const std::size_t Rack = std::max<std::size_t>(Size / 40, 2);
    for (std::size_t Index = Seeds; Index < Seeds + Rack; ++Index)
      Network.kill(Index);
    const byte_sample Before(Network);
    const instant Begin = Network.Now;
    const duration TimeToAll =
        runUntilAll(Network, 500ms, 300s, [&](const member_view &View) {
          for (std::size_t Index = Seeds; Index < Seeds + Rack; ++Index)
            if (!hasState(View, Index, member_state::Dead))
              return false;
          return true;
        });
    const byte_rates Rates =
        ratesBetween(Before, byte_sample(Network), Network.Now - Begin);
    std::printf("%5zu rack      %zu lost: dead in all views after %s s, B/s "
                "meanwhile mean %.0f worst %.0f\n",
                Size, Rack, formatSeconds(TimeToAll).c_str(), Rates.Mean,
                Rates.Worst);
    std::fflush(stdout);
  }

  const std::size_t Size;
  const double HeapBefore;
  virtual_network Network;
  seeded_random Random;
  double IdleRate = 0;
};

/// Measures several data centres whose nodes request members of services in the
/// others.
void measureDataCentres(std::size_t Centres, std::size_t Members,
                        std::size_t RequestedServices, std::uint64_t Seed) {
  virtual_network::settings Settings;
  Settings.MostDelay = 4ms;
  virtual_network Network(Settings, Seed);
  std::vector<std::size_t> SeedNodes;
  for (std::size_t Centre = 0; Centre < Centres; ++Centre)
    SeedNodes.push_back(Centre * Members);
  const double HeapBefore = heapBytes();
  const std::size_t Services = std::max<std::size_t>(Members * 10 / 23, 1);
  for (std::size_t Index = 0; Index < Centres * Members; ++Index) {
    Network.start(Index, SeedNodes, "centre-" + std::to_string(Index / Members),
                  "service-" + std::to_string(Index % Members * 10 / 23));
    for (std::size_t Request = 0; Request < RequestedServices; ++Request)
      Network.member(Index).watchService(
          "service-" + std::to_string((Index * 7 + Request) % Services),
          Network.Now);
  }
  const auto IsComplete = [&](const member_view &View) {
    return View.DataCentres.size() + 1 == Centres &&
           countAlive(View) == Members;
  };
  const duration ConvergenceTime = runUntilAll(Network, 1s, 600s, IsComplete);
  Network.run(120s);
  const byte_sample Before(Network);
  const std::clock_t CpuBegin = std::clock();
  Network.run(120s);
  const double CpuSeconds =
      static_cast<double>(std::clock() - CpuBegin) / CLOCKS_PER_SEC;
  const byte_rates IdleRates = ratesBetween(Before, byte_sample(Network), 120s);
  for (auto &[Index, Node] : Network.Nodes)
    Node.Member->view();
  const auto Nodes = static_cast<double>(Network.Nodes.size());
  std::printf(
      "%2zu centres of %zu, %zu wanted: all known after %s s; idle B/s "
      "mean %.0f worst %.0f; %% of a core %.4f; KB heap per node %.0f\n",
      Centres, Members, RequestedServices,
      formatSeconds(ConvergenceTime).c_str(), IdleRates.Mean, IdleRates.Worst,
      100 * CpuSeconds / 120 / Nodes,
      (heapBytes() - HeapBefore) / Nodes / 1024);
  if (Centres < 2)
    return;
  // The last data centre fails and is started again.
  const std::size_t FirstIndex = (Centres - 1) * Members;
  for (std::size_t Index = FirstIndex; Index < FirstIndex + Members; ++Index)
    Network.kill(Index);
  const byte_sample AfterFailure(Network);
  Network.run(120s);
  const byte_rates FailureRates =
      ratesBetween(AfterFailure, byte_sample(Network), 120s);
  for (std::size_t Index = FirstIndex; Index < FirstIndex + Members; ++Index)
    Network.start(Index, SeedNodes, "centre-" + std::to_string(Centres - 1),
                  "service-" + std::to_string(Index % Members * 10 / 23));
  const duration RecoveryTime = runUntilAll(Network, 1s, 600s, IsComplete);
  std::printf(
      "%2zu centres of %zu: one lost: B/s of the others mean %.0f worst "
      "%.0f; started again, all views full after %s s\n",
      Centres, Members, FailureRates.Mean, FailureRates.Worst,
      formatSeconds(RecoveryTime).c_str());
  std::fflush(stdout);
}

void measureTags() {
  peer_key_ring KeyRing = virtual_network::keys();
  for (const std::size_t Size : {std::size_t{200}, std::size_t{16384}}) {
    const std::vector<std::byte> Message(Size);
    constexpr int Rounds = 20000;
    unsigned Sink = 0;
    const std::clock_t Begin = std::clock();
    for (int Round = 0; Round < Rounds; ++Round)
      Sink += std::to_integer<unsigned>(KeyRing.sign(Message).Bytes[0]);
    const double CpuSeconds =
        static_cast<double>(std::clock() - Begin) / CLOCKS_PER_SEC;
    std::printf("tag of %zu B: %.0f ns (check %u)\n", Size,
                CpuSeconds / Rounds * 1e9, Sink & 1U);
  }
}

std::vector<std::size_t> parseNumbers(const std::string &Text) {
  std::vector<std::size_t> Values;
  std::istringstream Stream(Text);
  std::string Field;
  while (std::getline(Stream, Field, ','))
    Values.push_back(std::stoul(Field));
  return Values;
}

} // namespace

int main(int ArgumentCount, char **Arguments) try {
  TCLAP::CmdLine CommandLine("Measures the cost of membership for each node.",
                             ' ', CLEMENTINE_VERSION);
  TCLAP::ValueArg<std::string> Sizes("", "sizes",
                                     "member counts of one data centre", false,
                                     "50,100,200,400,800", "N,N", CommandLine);
  TCLAP::ValueArg<std::string> Centres(
      "", "centres", "numbers of data centres of 20 members each", false,
      "1,3,7,15", "N,N", CommandLine);
  TCLAP::ValueArg<std::size_t> RequestedServices(
      "", "wanted", "services that each node requests", false, 8, "N",
      CommandLine);
  TCLAP::ValueArg<std::uint64_t> Seed("", "seed", "seed of the run", false, 1,
                                      "N", CommandLine);
  CommandLine.parse(ArgumentCount, Arguments);
  std::printf("seed %llu\n", static_cast<unsigned long long>(Seed.getValue()));
  measureTags();
  for (const std::size_t Size : parseNumbers(Sizes.getValue()))
    single_data_centre(Size, Seed.getValue()).measure();
  constexpr std::size_t MembersOfCentre = 20;
  for (const std::size_t Count : parseNumbers(Centres.getValue()))
    measureDataCentres(Count, MembersOfCentre, RequestedServices.getValue(),
                       Seed.getValue());
  return 0;
} catch (const std::exception &Error) {
  std::fprintf(stderr, "membership_slopes: %s\n", Error.what());
  return 1;
}
