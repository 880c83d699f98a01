#ifndef CLEMENTINE_LOAD_RUN_LOAD_CLIENT_H
#define CLEMENTINE_LOAD_RUN_LOAD_CLIENT_H

#include "clementine_load/decisions/arrival_schedule.h"
#include "clementine_load/decisions/request_record.h"
#include "clementine_load/description/deployment.h"
#include "clementine_load/description/scenario.h"

#include <string>
#include <vector>

namespace clementine::load {

/// Sends a share of a scenario's requests at their scheduled times from one
/// thread, over persistent connections, and records their outcomes.
class load_client {
public:
  /// @param Deployment, Scenario, NodeUrls have to outlive the client.
  /// @param NodeUrls the base URLs of the nodes that receive requests.
  /// @param Seed the seed of the choice of nodes, nonces and waits.
  load_client(const deployment &Deployment, const scenario &Scenario,
              const std::vector<std::string> &NodeUrls, std::uint64_t Seed);

  load_client(const load_client &) = delete;
  load_client &operator=(const load_client &) = delete;

  /// Sends the requests of @p Arrivals and returns when all have ended.
  /// @param Begin the start of the run, to which arrivals are relative.
  std::vector<request_record> run(instant Begin,
                                  const std::vector<arrival> &Arrivals);

private:
  class session;

  const deployment &Deployment;
  const scenario &Scenario;
  const std::vector<std::string> &NodeUrls;
  const std::uint64_t Seed;
};

} // namespace clementine::load

#endif
