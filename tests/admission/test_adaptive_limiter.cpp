#include "clementine_admission/clementine_admission.h"
#include "clementine_core/random/random_source.h"

#include <doctest/doctest.h>

#include <cmath>
#include <queue>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

/// Simulates an upstream with a fixed number of slots under constant
/// saturation: whenever an attempt ends, as many start as the limit allows.
class saturated_upstream {
public:
  saturated_upstream(std::size_t Slots, double Sigma,
                     adaptive_limiter_settings Settings = {})
      : Limiter(Settings), Slots(Slots), Sigma(Sigma) {}

  void run(duration Span) {
    const instant End = Now + Span;
    fill();
    while (!Busy.empty() && Busy.top().EndsAt < End)
      finishNext();
    Now = End;
  }

  adaptive_limiter Limiter;
  /// The mean time for which an attempt occupies its slot, without sub-calls.
  duration ServiceTime = 20ms;
  /// Additional time in sub-calls, reported to the limiter if ReportsSubCalls
  /// is set.
  duration SubCalls = 0ms;
  bool ReportsSubCalls = true;
  /// Whether attempts beyond the slots are shed rather than queued.
  bool Sheds = false;

private:
  struct busy_slot {
    instant EndsAt;
    instant StartedAt;
    duration SubCalls;
    std::size_t InFlightAtStart;

    bool operator<(const busy_slot &Other) const {
      return EndsAt > Other.EndsAt;
    }
  };
  struct waiting_attempt {
    instant StartedAt;
    std::size_t InFlightAtStart;
  };

  void fill() {
    while (InFlight < Limiter.limit()) {
      const std::size_t Before = InFlight++;
      if (Sheds && Before >= Slots) {
        --InFlight;
        Limiter.addSample({work_outcome::Shed, Now, 0ns, Before + 1, true},
                          Now);
        return;
      }
      Waiting.push({Now, Before + 1});
    }
    while (Busy.size() < Slots && !Waiting.empty()) {
      const waiting_attempt Next = Waiting.front();
      Waiting.pop();
      Busy.push({Now + drawServiceTime() + SubCalls, Next.StartedAt, SubCalls,
                 Next.InFlightAtStart});
    }
  }

  void finishNext() {
    const busy_slot Done = Busy.top();
    Busy.pop();
    Now = Done.EndsAt;
    const bool LimitReached = InFlight-- >= Limiter.limit();
    const duration ReportedSubCalls = ReportsSubCalls ? Done.SubCalls : 0ns;
    Limiter.addSample({work_outcome::Completed, Done.StartedAt,
                       Now - Done.StartedAt - ReportedSubCalls,
                       Done.InFlightAtStart, LimitReached},
                      Now);
    fill();
  }

  duration drawServiceTime() {
    constexpr double Pi = 3.14159265358979323846;
    const double Normal = std::sqrt(-2.0 * std::log(1.0 - Random.unit())) *
                          std::cos(2.0 * Pi * Random.unit());
    const double Factor = std::exp(Sigma * Normal - Sigma * Sigma / 2.0);
    return duration(static_cast<duration::rep>(
        static_cast<double>(ServiceTime.count()) * Factor));
  }

  const std::size_t Slots;
  const double Sigma;
  seeded_random Random{20261204};
  instant Now{100s};
  std::size_t InFlight = 0;
  std::priority_queue<busy_slot> Busy;
  std::queue<waiting_attempt> Waiting;
};

} // namespace

TEST_CASE("the limit converges from a cold start for few and many slots") {
  for (const std::size_t Slots : {15, 55, 150}) {
    for (const double Sigma : {0.3, 0.6, 1.0}) {
      CAPTURE(Slots);
      CAPTURE(Sigma);
      saturated_upstream Upstream(Slots, Sigma);
      Upstream.run(3s);
      for (int Second = 0; Second < 10; ++Second) {
        Upstream.run(1s);
        CHECK(Upstream.Limiter.limit() >= Slots * 6 / 10);
        CHECK(Upstream.Limiter.limit() <= Slots * 22 / 10);
      }
    }
  }
}

TEST_CASE(
    "a service that slows down and recovers is not treated as congested") {
  saturated_upstream Upstream(55, 0.5);
  Upstream.run(5s);
  Upstream.ServiceTime = 100ms;
  Upstream.run(6s);
  CHECK(Upstream.Limiter.limit() >= 40);
  CHECK(Upstream.Limiter.baselineLatency() > 60ms);
  Upstream.ServiceTime = 20ms;
  Upstream.run(1s);
  CHECK(Upstream.Limiter.limit() >= 40);
  Upstream.run(3s);
  CHECK(Upstream.Limiter.limit() <= 140);
}

TEST_CASE("without new baselines a slower service is limited too far") {
  adaptive_limiter_settings Settings;
  Settings.CutsBeforeNewBaseline = 1000000;
  saturated_upstream Upstream(55, 0.5, Settings);
  Upstream.run(5s);
  Upstream.ServiceTime = 100ms;
  Upstream.run(6s);
  CHECK(Upstream.Limiter.limit() < 20);
}

TEST_CASE("slow sub-calls do not lower the limit if they are reported") {
  for (const bool Reports : {true, false}) {
    saturated_upstream Upstream(55, 0.5);
    Upstream.ReportsSubCalls = Reports;
    Upstream.run(5s);
    Upstream.SubCalls = 200ms;
    std::size_t Lowest = 1000;
    for (int Step = 0; Step < 30; ++Step) {
      Upstream.run(100ms);
      Lowest = std::min(Lowest, Upstream.Limiter.limit());
    }
    // The limit varies, but never by as much as two maximum cuts.
    constexpr std::size_t OneCutBelowSlots = 55 * 7 / 10;
    CHECK((Lowest >= OneCutBelowSlots) == Reports);
  }
}

TEST_CASE("the limit follows an upstream that sheds load") {
  saturated_upstream Upstream(55, 0.5);
  Upstream.Sheds = true;
  Upstream.run(3s);
  for (int Second = 0; Second < 5; ++Second) {
    Upstream.run(1s);
    CHECK(Upstream.Limiter.limit() >= 40);
    CHECK(Upstream.Limiter.limit() <= 61);
  }
}
