#ifndef CLEMENTINE_SOAK_OVERLAPPING_CLIENTS_H
#define CLEMENTINE_SOAK_OVERLAPPING_CLIENTS_H

#include "clementine_soak/soak_findings.h"
#include "stand_in_http/pipelining_client.h"
#include "stand_in_users_platform/local_mesh.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <limits>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace clementine::soak {

/// Callers that send idempotent requests on kept connections without waiting
/// for the answers, until the connection ends. Some read slowly or send many
/// header fields. They check that answers arrive in order, each to its own
/// request, and complete if they are successes.
class overlapping_clients {
public:
  /// @param Count the number of threads, each with one connection at a time.
  overlapping_clients(stand_in::local_mesh &Mesh, soak_findings &Findings,
                      std::uint64_t Seed, unsigned Count);
  ~overlapping_clients();

  overlapping_clients(const overlapping_clients &) = delete;
  overlapping_clients &operator=(const overlapping_clients &) = delete;

  /// Stops and joins the threads.
  void stop();

  /// @returns how many answers were checked.
  int answers() const { return Answers; }

private:
  /// The behaviour of the client of one connection.
  struct habits {
    std::size_t ReadBytes = 0;
    std::size_t HeaderFields = 0;
    std::chrono::milliseconds Interval{0};
    /// After these the connection is given up; by default it is used until it
    /// ends.
    int MaxRequests = std::numeric_limits<int>::max();
  };

  void sendUntilStopped(std::uint64_t Seed, unsigned Number);
  void useConnection(const endpoint &Node, const habits &Habits,
                     const std::string &Name);
  void check(const stand_in::pipelining_client::answer &Answer,
             std::deque<std::string> &Expected);
  static habits randomHabits(std::mt19937_64 &Random);

  stand_in::local_mesh &Mesh;
  soak_findings &Findings;
  std::atomic<bool> Stopping{false};
  std::atomic<int> Answers{0};
  std::vector<std::thread> Threads;
};

} // namespace clementine::soak

#endif
