#ifndef CLEMENTINE_SOAK_SOAK_CLIENTS_H
#define CLEMENTINE_SOAK_SOAK_CLIENTS_H

#include "clementine_soak/soak_findings.h"
#include "stand_in_users_platform/local_mesh.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace clementine::soak {

/// Callers that send requests through the nodes of a mesh until they are
/// stopped, and judge each answer against what the instances ran.
class soak_clients {
public:
  /// @param Count of threads, each with a connection that it keeps.
  soak_clients(stand_in::local_mesh &Mesh, soak_findings &Findings,
               std::uint64_t Seed, unsigned Count);
  ~soak_clients();

  soak_clients(const soak_clients &) = delete;
  soak_clients &operator=(const soak_clients &) = delete;

  /// Ends the threads after their requests.
  void stop();

  /// Judges what can only be judged at the end: that no request whose answer
  /// promised that it has not run has run, and that none that may run once
  /// only has run twice.
  void judgeRuns();

  /// @returns how many answers had each status; 0 for no whole answer.
  std::map<long, int> statuses() const;

private:
  struct sent_request {
    std::string Id;
    long Status = 0;
  };

  void sendUntilStopped(std::uint64_t Seed, unsigned Number);
  void judge(const std::string &Id, const std::string &Path,
             const std::string &Method,
             const stand_in::http_client::answer &Answer,
             std::chrono::milliseconds Took);

  stand_in::local_mesh &Mesh;
  soak_findings &Findings;
  std::atomic<bool> Stopping{false};
  mutable std::mutex Mutex;
  std::vector<sent_request> Sent;
  std::vector<std::thread> Threads;
};

} // namespace clementine::soak

#endif
