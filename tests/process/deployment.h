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

/// An HTTP response; status 0 when no complete response arrived.
using http_result = stand_in::http_client::answer;

/// One VM: a node and its upstream.
struct vm_config {
  std::string Name;
  std::string DataCentre;
  std::string Host;
  std::string Service;
  /// `OPERATION=SERVICE/OPERATION`; may be empty.
  std::string Calls;
  double ServiceTimeMilliseconds = 5;
};

/// A platform and VMs in several data centres, as real processes on loopback
/// addresses.
class deployment {
public:
  /// Starts all processes, without a bundle; see acceptBundle().
  explicit deployment(std::vector<vm_config> Configs);
  ~deployment();

  deployment(const deployment &) = delete;
  deployment &operator=(const deployment &) = delete;

  /// Signs a bundle with the only trusted key and publishes it to the platform.
  void acceptBundle(const std::string &Text);

  /// Waits until a request through every node completes.
  /// @returns false after a minute.
  bool waitUntilReady(const std::string &Caller, const std::string &Target);

  http_result call(const std::string &Vm, const std::string &Target,
                   const std::string &Caller,
                   const std::vector<std::string> &MoreHeaders,
                   const std::string &Body) const;

  void startVm(const std::string &Name);
  child_process &node(const std::string &Vm) { return *Nodes.at(Vm); }
  child_process &upstream(const std::string &Vm) { return *Upstreams.at(Vm); }

  /// @returns how many runs of requests that contain @p Body were started by
  /// the upstreams.
  int countRuns(const std::string &Body) const;

  std::string platformUrl() const;
  const vm_config &configOf(const std::string &Vm) const;

private:
  std::string writeSettings(const vm_config &Config) const;
  std::string logFile(const std::string &Name) const;

  const std::vector<vm_config> Configs;
  mutable stand_in::http_client Client;
  std::string Folder;
  std::uint64_t AcceptedVersion = 0;
  std::unique_ptr<child_process> Platform;
  std::map<std::string, std::unique_ptr<child_process>> Nodes;
  std::map<std::string, std::unique_ptr<child_process>> Upstreams;
};

/// Polls until @p Condition is true.
/// @returns false when it was never true within @p Timeout.
bool waitUntil(const std::function<bool()> &Condition,
               std::chrono::seconds Timeout);

} // namespace clementine::test

#endif
