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

/// Four services in three zones: real node processes on loopback, each beside
/// an instance of this process, and a store. The chain is front, desk, post;
/// archive stands alone.
class local_mesh {
public:
  /// Routes beside the fixed ones: a prefix and the service it leads to.
  using extra_routes = std::vector<std::pair<std::string, std::string>>;

  /// Where connections can be harmed.
  enum class fault_point : std::uint8_t {
    /// From other nodes to a node.
    Links,
    /// From a node to the store.
    Store,
    /// From a node to its instance.
    Instance,
  };

  /// What a mesh is made of.
  struct settings {
    std::vector<std::string> Zones = {"east", "west", "north"};
    /// Whether all connections lead through proxies that can harm them.
    bool HasProxies = false;
    /// The grace of a node's stop.
    std::chrono::seconds StopGrace{6};
    /// How long an instance works on a request, its calls not counted.
    std::chrono::milliseconds ServiceTime{5};
    /// The first three numbers of the address of every machine, up to 240.
    std::string Network = "127.0.11.";
  };

  local_mesh() : local_mesh(settings()) {}
  explicit local_mesh(settings Settings);
  ~local_mesh();

  local_mesh(const local_mesh &) = delete;
  local_mesh &operator=(const local_mesh &) = delete;

  /// Puts version @p Version in force.
  void configure(unsigned Version, const extra_routes &Extra);

  /// @returns whether every node answers readiness with 200, and front and
  /// archive are served by way of each, within half a minute.
  bool awaitReady();

  /// Sends a request to the node of @p Machine with an id of its own; status 0
  /// when no whole answer came.
  http_client::answer call(const std::string &Machine, const std::string &Path,
                           const std::string &Method = "GET");
  /// Sends a request with a given id.
  http_client::answer call(const std::string &Machine, const std::string &Path,
                           const std::string &Method, const std::string &Id,
                           http_client::connection Connection);
  /// @returns the id of the last call() that made one; for use by one thread.
  std::string lastId() const { return "call-" + std::to_string(LastCall); }
  /// @returns whether the node says that it takes work.
  bool isReady(const std::string &Machine);

  void startNode(const std::string &Machine);
  /// Starts an instance, in the place of the present one if there is one.
  /// @param StartedAt its start, which its id is made of.
  void startInstance(const std::string &Machine, std::int64_t StartedAt);
  void endInstance(const std::string &Machine);
  child_process &node(const std::string &Machine);
  app_instance &instance(const std::string &Machine);
  fault_proxy &proxy(const std::string &Machine, fault_point Place);
  std::string logOf(const std::string &Machine) const;
  /// @returns what `clementinectl explain-request` says of a request.
  std::string explain(const std::string &RequestId) const;
  const std::string &serviceOf(const std::string &Machine) const;
  /// Where the processes' logs lie; removed at the end.
  const std::string &folder() const { return Folder; }

  const std::vector<std::string> &machines() const { return Names; }

  std::unique_ptr<kv_store> Store;
  run_counts Runs;

private:
  struct machine {
    std::string Host;
    std::string Zone;
    std::string Service;
    /// By place.
    std::array<std::unique_ptr<fault_proxy>, 3> Proxies;
    std::unique_ptr<child_process> Node;
    std::unique_ptr<app_instance> Instance;
  };

  std::string fileOf(const std::string &Machine, const char *Ending) const;
  endpoint storeAddress() const;
  /// @returns where the other end reaches what listens on @p Port.
  endpoint reachableAt(const machine &Machine, std::uint16_t Port) const;
  void addProxies(machine &Machine);

  const settings Settings;
  http_client Client;
  std::string Folder;
  std::vector<std::string> Names;
  std::map<std::string, machine> Machines;
  std::atomic<unsigned> LastCall{0};
};

/// Waits until @p Holds or half a minute is over.
bool await(const std::function<bool()> &Holds);

} // namespace clementine::stand_in

#endif
