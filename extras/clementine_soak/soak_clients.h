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
/// stopped, and check each answer against the runs that the instances recorded.
class soak_clients {
public:
  /// @param Count the number of threads that send requests.
  soak_clients(stand_in::local_mesh &Mesh, soak_findings &Findings,
               std::uint64_t Seed, unsigned Count);
  ~soak_clients();

  soak_clients(const soak_clients &) = delete;
  soak_clients &operator=(const soak_clients &) = delete;

  /// Stops and joins the threads; each completes its request first.
  void stop();

  /// Makes the checks that need the complete record of runs: no request ran
  /// whose status guarantees that it did not, and no POST ran more than once.
  void checkRuns();

  /// @returns the number of answers by status; status 0 stands for no complete
  /// answer.
  std::map<long, int> statuses() const;

private:
  struct sent_request {
    std::string Id;
    long Status = 0;
  };

  void sendUntilStopped(std::uint64_t Seed, unsigned Number);
  void checkAnswer(const std::string &Id, const std::string &Path,
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
