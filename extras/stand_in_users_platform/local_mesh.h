#ifndef STAND_IN_USERS_PLATFORM_LOCAL_MESH_H
#define STAND_IN_USERS_PLATFORM_LOCAL_MESH_H

#include "stand_in_http/http_client.h"
#include "stand_in_process/child_process.h"
#include "stand_in_users_platform/app_instance.h"
#include "stand_in_users_platform/fault_proxy.h"
#include "stand_in_users_platform/kv_store.h"

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace clementine::stand_in {

/// Four services in three zones: real node processes on loopback, each with an
/// instance that runs in the test process, and a store. The instances of front
/// call desk, and those of desk call post; archive neither makes nor receives
/// calls of the others.
class local_mesh {
public:
  /// Routes besides the fixed ones: a path prefix and its target service.
  using extra_routes = std::vector<std::pair<std::string, std::string>>;

  /// Where faults can be injected into connections.
  enum class fault_point : std::uint8_t {
    /// From other nodes to a node.
    Links,
    /// From a node to the store.
    Store,
    /// From a node to its instance.
    Instance,
  };

  struct settings {
    std::vector<std::string> Zones = {"east", "west", "north"};
    /// Whether the connections of each fault_point go through a fault_proxy.
    bool HasProxies = false;
    /// How long the stop of a node may take.
    std::chrono::seconds StopGrace{6};
    /// How long an instance runs a request, without its own calls.
    std::chrono::milliseconds ServiceTime{5};
    /// The first three numbers of the address of every machine; at most 240
    /// machines.
    std::string Network = "127.0.11.";
  };

  local_mesh() : local_mesh(settings()) {}
  explicit local_mesh(settings Settings);
  ~local_mesh();

  local_mesh(const local_mesh &) = delete;
  local_mesh &operator=(const local_mesh &) = delete;

  /// Publishes version @p Version of the configuration in the store.
  void configure(unsigned Version, const extra_routes &Extra);

  /// @returns whether, within 30 seconds, every node responds to readiness
  /// probes with 200 and serves calls to front and archive.
  bool awaitReady();

  /// Sends a request with a new id to the node of @p Machine. May be called
  /// from several threads.
  /// @returns the response; status 0 if none was received completely.
  http_client::answer call(const std::string &Machine, const std::string &Path,
                           const std::string &Method = "GET");
  /// Sends a request with the id @p Id.
  http_client::answer call(const std::string &Machine, const std::string &Path,
                           const std::string &Method, const std::string &Id,
                           http_client::connection Connection);
  /// @returns the id that call() generated last; for use by a single thread.
  std::string lastId() const { return idOf(LastCall); }
  /// @returns whether the node reports that it is ready.
  bool isReady(const std::string &Machine);

  void startNode(const std::string &Machine);
  /// Starts an instance, replacing the current one if there is one.
  /// @param StartedAt its reported start time, which also becomes part of its
  /// id.
  void startInstance(const std::string &Machine, std::int64_t StartedAt);
  void endInstance(const std::string &Machine);
  child_process &node(const std::string &Machine);
  app_instance &instance(const std::string &Machine);
  fault_proxy &proxy(const std::string &Machine, fault_point Point);
  std::string logOf(const std::string &Machine) const;
  /// @returns the output of `clementinectl explain-request` for a request.
  std::string explain(const std::string &RequestId) const;
  /// @returns the address at which the node of @p Machine accepts requests.
  endpoint outboundOf(const std::string &Machine) const;
  const std::string &serviceOf(const std::string &Machine) const;
  /// The folder of the processes' logs; removed by the destructor.
  const std::string &folder() const { return Folder; }

  const std::vector<std::string> &machines() const { return Names; }

  std::unique_ptr<kv_store> Store;
  run_counts Runs;

private:
  struct machine {
    std::string Host;
    std::string Zone;
    std::string Service;
    /// Indexed by fault_point.
    std::array<std::unique_ptr<fault_proxy>, 3> Proxies;
    std::unique_ptr<child_process> Node;
    std::unique_ptr<app_instance> Instance;
  };

  static std::string idOf(unsigned Call) {
    return "call-" + std::to_string(Call);
  }
  std::string fileOf(const std::string &Machine, const char *Extension) const;
  endpoint storeAddress() const;
  /// @returns the address at which others reach @p Port of @p Machine: that of
  /// the proxy, if there is one.
  endpoint advertisedAddress(const machine &Machine, std::uint16_t Port) const;
  void addProxies(machine &Machine);

  const settings Settings;
  http_client Client;
  std::string Folder;
  std::vector<std::string> Names;
  std::map<std::string, machine> Machines;
  std::atomic<unsigned> LastCall{0};
};

/// Polls @p Condition until it is true, for at most 30 seconds.
/// @returns whether it became true.
bool await(const std::function<bool()> &Condition);

} // namespace clementine::stand_in

#endif
