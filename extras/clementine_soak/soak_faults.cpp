#include "clementine_soak/soak_faults.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <thread>

namespace clementine::soak {

using namespace std::chrono_literals;
using stand_in::fault_proxy;
using stand_in::kv_store;
using stand_in::local_mesh;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds Step{20};
/// The pause between two faults is up to this long.
constexpr std::size_t LongestPauseMilliseconds = 250;
constexpr std::size_t ShortestSpanMilliseconds = 200;
constexpr std::size_t LongestSpanMilliseconds = 2500;
/// How long after its confirmation a leaving instance may still get work.
constexpr std::chrono::milliseconds DrainBound{2000};
constexpr std::chrono::milliseconds DrainWatch{800};
/// The nodes' [node] stop_grace, and the margin of a busy machine.
constexpr std::chrono::milliseconds StopBound{6500};
/// How long a process may take until it handles signals.
constexpr std::chrono::milliseconds StartTime{100};
constexpr int FinishedExit = 0;
constexpr int UnfinishedExit = 3;

constexpr std::array<local_mesh::fault_point, 3> Places = {
    local_mesh::fault_point::Links, local_mesh::fault_point::Store,
    local_mesh::fault_point::Instance};

} // namespace

const soak_faults::entry soak_faults::Table[] = {
    {"kill node", &soak_faults::killNode},
    {"pause node", &soak_faults::pauseNode},
    {"stop node", &soak_faults::stopNode},
    {"reload node", &soak_faults::reloadNode},
    {"replace instance", &soak_faults::replaceInstance},
    {"crash instance", &soak_faults::crashInstance},
    {"lose answers", &soak_faults::loseAnswers},
    {"harm connections", &soak_faults::harmConnections},
    {"reset connections", &soak_faults::resetConnections},
    {"mute connections", &soak_faults::muteConnections},
    {"harm store", &soak_faults::harmStore},
    {"lose store answers", &soak_faults::loseStoreAnswers},
    {"lapse leases", &soak_faults::lapseLeases},
    {"forget history", &soak_faults::compactHistory},
    {"change config", &soak_faults::changeConfig},
};

soak_faults::soak_faults(local_mesh &Mesh, soak_findings &Findings,
                         std::uint64_t Seed)
    : Mesh(Mesh), Findings(Findings), Random(Seed) {}

void soak_faults::run(std::chrono::seconds Span) {
  const time End = steady::now() + Span;
  time Next = steady::now();
  while (steady::now() < End) {
    endDue(steady::now());
    if (steady::now() >= Next) {
      const entry &Drawn = Table[draw(std::size(Table))];
      (this->*Drawn.Begin)();
      Next = steady::now() +
             std::chrono::milliseconds(draw(LongestPauseMilliseconds));
    }
    std::this_thread::sleep_for(Step);
  }
  while (!Ends.empty()) {
    endDue(steady::now());
    std::this_thread::sleep_for(Step);
  }
}

void soak_faults::endDue(time Now) {
  while (!Ends.empty() && Ends.begin()->first <= Now) {
    const auto End = std::move(Ends.begin()->second);
    Ends.erase(Ends.begin());
    End();
  }
}

void soak_faults::endsAfter(std::chrono::milliseconds Span,
                            std::function<void()> End) {
  Ends.emplace(steady::now() + Span, std::move(End));
}

std::chrono::milliseconds soak_faults::drawSpan() {
  return std::chrono::milliseconds(
      ShortestSpanMilliseconds +
      draw(LongestSpanMilliseconds - ShortestSpanMilliseconds));
}

std::string soak_faults::takeMachine() {
  const std::string &Name = Mesh.machines()[draw(Mesh.machines().size())];
  if (!Held.insert(Name).second)
    return "";
  return Name;
}

void soak_faults::startNode(const std::string &Name) {
  StartedAt[Name] = steady::now();
  Mesh.startNode(Name);
}

void soak_faults::killNode() {
  const std::string Name = takeMachine();
  if (Name.empty())
    return;
  Mesh.node(Name).kill();
  endsAfter(drawSpan(), [this, Name] {
    startNode(Name);
    Held.erase(Name);
  });
}

void soak_faults::pauseNode() {
  const std::string Name = takeMachine();
  if (Name.empty())
    return;
  Mesh.node(Name).signal(SIGSTOP);
  endsAfter(drawSpan(), [this, Name] {
    Mesh.node(Name).signal(SIGCONT);
    Held.erase(Name);
  });
}

/// SIGTERM, at times twice or after a SIGHUP; the process ends by itself within
/// its grace.
void soak_faults::stopNode() {
  const std::string Name = takeMachine();
  if (Name.empty())
    return;
  if (draw(2) == 0)
    Mesh.node(Name).signal(SIGHUP);
  Mesh.node(Name).signal(SIGTERM);
  if (draw(3) == 0)
    Mesh.node(Name).signal(SIGTERM);
  const bool IsEarly = steady::now() - StartedAt[Name] < StartTime;
  endsAfter(StopBound, [this, Name, IsEarly] {
    const auto Code = Mesh.node(Name).exitCode();
    // Before main() has begun, either ends a process that has taken nothing.
    const bool EndedUnborn = IsEarly && Code &&
                             (Mesh.node(Name).endSignal() == SIGTERM ||
                              Mesh.node(Name).endSignal() == SIGHUP);
    if (!Code)
      Findings.add("stop within the grace", Name + " still runs");
    else if (*Code != FinishedExit && *Code != UnfinishedExit && !EndedUnborn)
      Findings.add("stop within the grace",
                   Name + " ended with " + std::to_string(*Code) + ", signal " +
                       std::to_string(Mesh.node(Name).endSignal()));
    startNode(Name);
    Held.erase(Name);
  });
}

void soak_faults::reloadNode() {
  Mesh.node(Mesh.machines()[draw(Mesh.machines().size())]).signal(SIGHUP);
}

/// The instance drains; once that is confirmed it gets nothing after the bound,
/// then another one takes its place.
void soak_faults::replaceInstance() {
  const std::string Name = takeMachine();
  if (Name.empty())
    return;
  const bool IsConfirmed = Mesh.instance(Name).drain();
  const std::string Id = Mesh.instance(Name).id();
  endsAfter(DrainBound, [this, Name, Id, IsConfirmed] {
    const int Before = Mesh.Runs.by(Id);
    endsAfter(DrainWatch, [this, Name, Id, IsConfirmed, Before] {
      const int Since = Mesh.Runs.by(Id) - Before;
      if (IsConfirmed && Since > 0)
        Findings.add("drain", Id + " ran " + std::to_string(Since) +
                                  " requests after its confirmation");
      Mesh.startInstance(Name, NextStart++);
      Held.erase(Name);
    });
  });
}

void soak_faults::crashInstance() {
  const std::string Name = takeMachine();
  if (Name.empty())
    return;
  Mesh.endInstance(Name);
  endsAfter(drawSpan(), [this, Name] {
    Mesh.startInstance(Name, NextStart++);
    Held.erase(Name);
  });
}

void soak_faults::loseAnswers() {
  const std::string Name = takeMachine();
  if (Name.empty())
    return;
  Mesh.instance(Name).loseAnswers(static_cast<int>(1 + draw(30)));
  Held.erase(Name);
}

void soak_faults::harmConnections() {
  constexpr std::array<fault_proxy::fault, 4> Faults = {
      fault_proxy::fault::Delayed, fault_proxy::fault::CutTowardsTarget,
      fault_proxy::fault::CutFromTarget, fault_proxy::fault::Silent};
  fault_proxy &Proxy = Mesh.proxy(Mesh.machines()[draw(Mesh.machines().size())],
                                  Places[draw(Places.size())]);
  Proxy.set(Faults[draw(Faults.size())]);
  endsAfter(drawSpan(), [&Proxy] { Proxy.set(fault_proxy::fault::None); });
}

void soak_faults::resetConnections() {
  Mesh.proxy(Mesh.machines()[draw(Mesh.machines().size())],
             Places[draw(Places.size())])
      .reset();
}

void soak_faults::muteConnections() {
  Mesh.proxy(Mesh.machines()[draw(Mesh.machines().size())],
             Places[draw(Places.size())])
      .blackholeOpen();
}

void soak_faults::harmStore() {
  constexpr std::array<kv_store::outage, 3> Kinds = {
      kv_store::outage::Unavailable, kv_store::outage::Busy,
      kv_store::outage::Silent};
  Mesh.Store->setOutage(Kinds[draw(Kinds.size())]);
  endsAfter(drawSpan(),
            [this] { Mesh.Store->setOutage(kv_store::outage::None); });
}

void soak_faults::loseStoreAnswers() {
  Mesh.Store->loseAnswers(static_cast<int>(1 + draw(4)));
}

void soak_faults::lapseLeases() { Mesh.Store->expireLeases(); }

void soak_faults::compactHistory() { Mesh.Store->compactHistory(); }

void soak_faults::changeConfig() {
  ++Version;
  Mesh.configure(Version, {{"/v" + std::to_string(Version) + "/", "archive"}});
}

} // namespace clementine::soak
