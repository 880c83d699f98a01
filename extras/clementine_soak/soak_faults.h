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

/// Injects faults into a mesh, drawn from a seed, several at a time. Each ends
/// after its time, whatever else goes on.
class soak_faults {
public:
  soak_faults(stand_in::local_mesh &Mesh, soak_findings &Findings,
              std::uint64_t Seed);

  soak_faults(const soak_faults &) = delete;
  soak_faults &operator=(const soak_faults &) = delete;

  /// Injects faults for @p Span, then waits until each has ended in its time.
  void run(std::chrono::seconds Span);

  /// @returns the version of the configuration that was put in force last.
  unsigned configVersion() const { return Version; }

private:
  using time = std::chrono::steady_clock::time_point;
  using method = void (soak_faults::*)();

  struct entry {
    const char *Name;
    method Begin;
  };
  static const entry Table[];

  void endDue(time Now);
  /// Ends the fault of the present draw later.
  void endsAfter(std::chrono::milliseconds Span, std::function<void()> End);
  std::chrono::milliseconds drawSpan();
  /// @returns a machine whose process nothing else holds, or an empty text.
  std::string takeMachine();
  std::size_t draw(std::size_t Bound) { return Random() % Bound; }

  void startNode(const std::string &Name);
  void killNode();
  void pauseNode();
  void stopNode();
  void reloadNode();
  void replaceInstance();
  void crashInstance();
  void loseAnswers();
  void harmConnections();
  void resetConnections();
  void muteConnections();
  void harmStore();
  void loseStoreAnswers();
  void lapseLeases();
  void compactHistory();
  void changeConfig();

  stand_in::local_mesh &Mesh;
  soak_findings &Findings;
  std::mt19937_64 Random;
  std::multimap<time, std::function<void()>> Ends;
  /// Machines whose processes a fault holds.
  std::set<std::string> Held;
  /// When each node's process was last started by a fault's end.
  std::map<std::string, time> StartedAt;
  std::int64_t NextStart = 2;
  unsigned Version = 1;
};

} // namespace clementine::soak

#endif
