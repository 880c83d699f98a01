#ifndef CLEMENTINE_TESTS_PROCESS_DEPLOYMENT_H
#define CLEMENTINE_TESTS_PROCESS_DEPLOYMENT_H

#include "stand_in_http/http_client.h"
#include "stand_in_process/child_process.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace clementine::test {

using stand_in::child_process;

/// What came back over HTTP; status 0 when nothing whole did.
using http_result = stand_in::http_client::answer;

/// One VM: a node and the upstream beside it.
struct vm_plan {
  std::string Name;
  std::string DataCentre;
  std::string Host;
  std::string Service;
  /// `OPERATION=SERVICE/OPERATION`; may be empty.
  std::string Calls;
  double ServiceTimeMilliseconds = 5;
};

/// Real processes on loopback: a platform and VMs in several data centres.
class deployment {
public:
  /// Starts all processes; the bundle is accepted later.
  explicit deployment(std::vector<vm_plan> Plans);
  ~deployment();

  deployment(const deployment &) = delete;
  deployment &operator=(const deployment &) = delete;

  /// Signs a bundle's text as the only owner and has the platform accept it.
  void acceptBundle(const std::string &Text);

  /// Waits until a request through every node completes.
  /// @returns false after a minute.
  bool awaitReady(const std::string &Caller, const std::string &Target);

  http_result call(const std::string &Vm, const std::string &Target,
                   const std::string &Caller,
                   const std::vector<std::string> &MoreHeaders,
                   const std::string &Body) const;

  void startVm(const std::string &Name);
  child_process &node(const std::string &Vm) { return *Nodes.at(Vm); }
  child_process &upstream(const std::string &Vm) { return *Upstreams.at(Vm); }

  /// How often the upstreams began to run what has @p Body in its request.
  int runsOf(const std::string &Body) const;

  std::string platformUrl() const;
  const vm_plan &planOf(const std::string &Vm) const;

private:
  std::string writeSettings(const vm_plan &Plan) const;
  std::string logFile(const std::string &Name) const;

  const std::vector<vm_plan> Plans;
  mutable stand_in::http_client Client;
  std::string Folder;
  std::uint64_t AcceptedVersion = 0;
  std::unique_ptr<child_process> Platform;
  std::map<std::string, std::unique_ptr<child_process>> Nodes;
  std::map<std::string, std::unique_ptr<child_process>> Upstreams;
};

/// Looks until @p Holds says yes.
/// @returns false when it never did within @p Patience.
bool await(const std::function<bool()> &Holds, std::chrono::seconds Patience);

} // namespace clementine::test

#endif
