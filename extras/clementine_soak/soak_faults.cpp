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

constexpr std::chrono::milliseconds PollInterval{20};
/// The upper bound of the random pause between two faults.
constexpr std::size_t MaxPauseMilliseconds = 250;
constexpr std::size_t MinDurationMilliseconds = 200;
constexpr std::size_t MaxDurationMilliseconds = 2500;
/// The time after its drain is confirmed in which an instance may still receive
/// requests.
constexpr std::chrono::milliseconds DrainTimeout{2000};
constexpr std::chrono::milliseconds DrainObservationTime{800};
/// The nodes' [node] stop_grace plus a margin for a busy machine.
constexpr std::chrono::milliseconds StopTimeout{6500};
/// The time that a new process may take to install its signal handlers.
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
    {"disrupt connections", &soak_faults::disruptConnections},
    {"reset connections", &soak_faults::resetConnections},
    {"mute connections", &soak_faults::muteConnections},
    {"disrupt store", &soak_faults::disruptStore},
    {"lose store answers", &soak_faults::loseStoreAnswers},
    {"lapse leases", &soak_faults::lapseLeases},
    {"forget history", &soak_faults::compactHistory},
    {"change config", &soak_faults::changeConfig},
    {"restore store", &soak_faults::restoreStore},
};

soak_faults::soak_faults(local_mesh &Mesh, soak_findings &Findings,
                         std::uint64_t Seed)
    : Mesh(Mesh), Findings(Findings), Random(Seed) {}

void soak_faults::run(std::chrono::seconds Duration) {
  const time End = steady::now() + Duration;
  time Next = steady::now();
  while (steady::now() < End) {
    endDueFaults(steady::now());
    if (steady::now() >= Next) {
      const entry &Selected = Table[randomBelow(std::size(Table))];
      (this->*Selected.Begin)();
      Next = steady::now() +
             std::chrono::milliseconds(randomBelow(MaxPauseMilliseconds));
    }
    std::this_thread::sleep_for(PollInterval);
  }
  while (!PendingEnds.empty()) {
    endDueFaults(steady::now());
    std::this_thread::sleep_for(PollInterval);
  }
}

void soak_faults::endDueFaults(time Now) {
  while (!PendingEnds.empty() && PendingEnds.begin()->first <= Now) {
    const auto End = std::move(PendingEnds.begin()->second);
    PendingEnds.erase(PendingEnds.begin());
    End();
  }
}

void soak_faults::scheduleEnd(std::chrono::milliseconds Duration,
                              std::function<void()> End) {
  PendingEnds.emplace(steady::now() + Duration, std::move(End));
}

std::chrono::milliseconds soak_faults::randomDuration() {
  return std::chrono::milliseconds(
      MinDurationMilliseconds +
      randomBelow(MaxDurationMilliseconds - MinDurationMilliseconds));
}

std::string soak_faults::reserveMachine() {
  const std::string &Name =
      Mesh.machines()[randomBelow(Mesh.machines().size())];
  if (!ReservedMachines.insert(Name).second)
    return "";
  return Name;
}

void soak_faults::startNode(const std::string &Name) {
  StartedAt[Name] = steady::now();
  Mesh.startNode(Name);
}

void soak_faults::killNode() {
  const std::string Name = reserveMachine();
  if (Name.empty())
    return;
  Mesh.node(Name).kill();
  scheduleEnd(randomDuration(), [this, Name] {
    startNode(Name);
    ReservedMachines.erase(Name);
  });
}

void soak_faults::pauseNode() {
  const std::string Name = reserveMachine();
  if (Name.empty())
    return;
  Mesh.node(Name).signal(SIGSTOP);
  scheduleEnd(randomDuration(), [this, Name] {
    Mesh.node(Name).signal(SIGCONT);
    ReservedMachines.erase(Name);
  });
}

/// Sends SIGTERM, at random twice or after a SIGHUP. The process has to exit
/// within its stop_grace.
void soak_faults::stopNode() {
  const std::string Name = reserveMachine();
  if (Name.empty())
    return;
  if (randomBelow(2) == 0)
    Mesh.node(Name).signal(SIGHUP);
  Mesh.node(Name).signal(SIGTERM);
  if (randomBelow(3) == 0)
    Mesh.node(Name).signal(SIGTERM);
  const bool IsEarly = steady::now() - StartedAt[Name] < StartTime;
  scheduleEnd(StopTimeout, [this, Name, IsEarly] {
    const auto Code = Mesh.node(Name).exitCode();
    // Before main() begins, SIGTERM and SIGHUP terminate the process, which has
    // not accepted any request by then.
    const bool EndedBeforeMain =
        IsEarly && Code &&
        (Mesh.node(Name).terminationSignal() == SIGTERM ||
         Mesh.node(Name).terminationSignal() == SIGHUP);
    if (!Code)
      Findings.add("stop within stop_grace", Name + " is still running");
    else if (*Code != FinishedExit && *Code != UnfinishedExit &&
             !EndedBeforeMain)
      Findings.add("stop within stop_grace",
                   Name + " exited with code " + std::to_string(*Code) +
                       ", signal " +
                       std::to_string(Mesh.node(Name).terminationSignal()));
    startNode(Name);
    ReservedMachines.erase(Name);
  });
}

void soak_faults::reloadNode() {
  Mesh.node(Mesh.machines()[randomBelow(Mesh.machines().size())])
      .signal(SIGHUP);
}

/// Drains an instance and then replaces it. If the drain was confirmed, the old
/// instance must not run any request after DrainTimeout.
void soak_faults::replaceInstance() {
  const std::string Name = reserveMachine();
  if (Name.empty())
    return;
  const bool IsConfirmed = Mesh.instance(Name).drain();
  const std::string Id = Mesh.instance(Name).id();
  scheduleEnd(DrainTimeout, [this, Name, Id, IsConfirmed] {
    const int Before = Mesh.Runs.by(Id);
    scheduleEnd(DrainObservationTime, [this, Name, Id, IsConfirmed, Before] {
      const int Since = Mesh.Runs.by(Id) - Before;
      if (IsConfirmed && Since > 0)
        Findings.add("drain", Id + " ran " + std::to_string(Since) +
                                  " requests after its drain was confirmed");
      Mesh.startInstance(Name, NextStart++);
      ReservedMachines.erase(Name);
    });
  });
}

void soak_faults::crashInstance() {
  const std::string Name = reserveMachine();
  if (Name.empty())
    return;
  Mesh.endInstance(Name);
  scheduleEnd(randomDuration(), [this, Name] {
    Mesh.startInstance(Name, NextStart++);
    ReservedMachines.erase(Name);
  });
}

void soak_faults::loseAnswers() {
  const std::string Name = reserveMachine();
  if (Name.empty())
    return;
  Mesh.instance(Name).loseAnswers(static_cast<int>(1 + randomBelow(30)));
  ReservedMachines.erase(Name);
}

void soak_faults::disruptConnections() {
  constexpr std::array<fault_proxy::fault, 4> Faults = {
      fault_proxy::fault::Delayed, fault_proxy::fault::CutTowardsTarget,
      fault_proxy::fault::CutFromTarget, fault_proxy::fault::Silent};
  fault_proxy &Proxy =
      Mesh.proxy(Mesh.machines()[randomBelow(Mesh.machines().size())],
                 Places[randomBelow(Places.size())]);
  Proxy.set(Faults[randomBelow(Faults.size())]);
  scheduleEnd(randomDuration(),
              [&Proxy] { Proxy.set(fault_proxy::fault::None); });
}

void soak_faults::resetConnections() {
  Mesh.proxy(Mesh.machines()[randomBelow(Mesh.machines().size())],
             Places[randomBelow(Places.size())])
      .reset();
}

void soak_faults::muteConnections() {
  Mesh.proxy(Mesh.machines()[randomBelow(Mesh.machines().size())],
             Places[randomBelow(Places.size())])
      .blackholeOpen();
}

void soak_faults::disruptStore() {
  constexpr std::array<kv_store::outage, 3> Kinds = {
      kv_store::outage::Unavailable, kv_store::outage::Busy,
      kv_store::outage::Silent};
  Mesh.Store->setOutage(Kinds[randomBelow(Kinds.size())]);
  scheduleEnd(randomDuration(),
              [this] { Mesh.Store->setOutage(kv_store::outage::None); });
}

void soak_faults::loseStoreAnswers() {
  Mesh.Store->loseAnswers(static_cast<int>(1 + randomBelow(4)));
}

void soak_faults::lapseLeases() { Mesh.Store->expireLeases(); }

void soak_faults::compactHistory() { Mesh.Store->compactHistory(); }

void soak_faults::changeConfig() {
  ++Version;
  writeConfig();
}

void soak_faults::writeConfig() {
  const std::string Prefix =
      Version > 1 ? "/v" + std::to_string(Version) + "/" : "/extra/";
  Mesh.configure(Version, {{Prefix, "archive"}});
}

/// The store is away for a moment and comes back from an older copy; then the
/// operator writes its newest configuration again.
void soak_faults::restoreStore() {
  Mesh.Store->keepCopy();
  scheduleEnd(randomDuration(), [this] {
    Mesh.Store->setOutage(kv_store::outage::Unavailable);
    scheduleEnd(randomDuration(), [this] {
      Mesh.Store->restoreCopy();
      Mesh.Store->setOutage(kv_store::outage::None);
      scheduleEnd(randomDuration(), [this] { writeConfig(); });
    });
  });
}

} // namespace clementine::soak
