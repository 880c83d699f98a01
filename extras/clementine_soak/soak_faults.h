#ifndef CLEMENTINE_SOAK_SOAK_FAULTS_H
#define CLEMENTINE_SOAK_SOAK_FAULTS_H

#include "clementine_soak/soak_findings.h"
#include "stand_in_users_platform/local_mesh.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

namespace clementine::soak {

/// Injects random faults, chosen from a seed, into a mesh. Several faults may
/// be active at a time; each ends after its own duration.
class soak_faults {
public:
  soak_faults(stand_in::local_mesh &Mesh, soak_findings &Findings,
              std::uint64_t Seed);

  soak_faults(const soak_faults &) = delete;
  soak_faults &operator=(const soak_faults &) = delete;

  /// Injects faults for @p Duration, then waits until all of them have ended.
  void run(std::chrono::seconds Duration);

  /// @returns the version of the configuration that was set last.
  unsigned configVersion() const { return Version; }

private:
  using time = std::chrono::steady_clock::time_point;
  using method = void (soak_faults::*)();

  struct entry {
    const char *Name;
    method Begin;
  };
  static const entry Table[];

  void endDueFaults(time Now);
  /// Schedules @p End, which ends the current fault, after @p Duration.
  void scheduleEnd(std::chrono::milliseconds Duration,
                   std::function<void()> End);
  std::chrono::milliseconds randomDuration();
  /// Picks a random machine and reserves it for one fault.
  /// @returns its name, or an empty string if another fault has reserved it.
  std::string reserveMachine();
  std::size_t randomBelow(std::size_t Bound) { return Random() % Bound; }

  void startNode(const std::string &Name);
  void killNode();
  void pauseNode();
  void stopNode();
  void reloadNode();
  void replaceInstance();
  void crashInstance();
  void loseAnswers();
  void disruptConnections();
  void resetConnections();
  void muteConnections();
  void disruptStore();
  void loseStoreAnswers();
  void lapseLeases();
  void compactHistory();
  void restoreStore();
  void changeConfig();
  void writeConfig();

  stand_in::local_mesh &Mesh;
  soak_findings &Findings;
  std::mt19937_64 Random;
  std::multimap<time, std::function<void()>> PendingEnds;
  /// Machines whose processes are in use by an active fault.
  std::set<std::string> ReservedMachines;
  /// When each node process was last restarted at the end of a fault.
  std::map<std::string, time> StartedAt;
  std::int64_t NextStart = 2;
  unsigned Version = 1;
};

} // namespace clementine::soak

#endif
