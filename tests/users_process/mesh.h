#ifndef CLEMENTINE_TESTS_USERS_PROCESS_MESH_H
#define CLEMENTINE_TESTS_USERS_PROCESS_MESH_H

#include "child_process.h"
#include "stand_in_users_platform/app_instance.h"
#include "stand_in_users_platform/kv_store.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace clementine::test {

/// Four services in three zones: real node processes on loopback, each beside
/// an instance of this process, and a store. The chain is front, desk, post;
/// archive stands alone.
class mesh {
public:
  mesh();
  ~mesh();

  mesh(const mesh &) = delete;
  mesh &operator=(const mesh &) = delete;

  /// Puts version @p Version in force; the route /extra/ leads to @p Extra.
  void configure(unsigned Version, const std::string &Extra);

  /// @returns whether every node answers readiness with 200, and every service
  /// is served, within a minute.
  bool awaitReady();

  /// Sends a request to the node of @p Machine with an id of its own.
  stand_in::plain_answer call(const std::string &Machine,
                              const std::string &Path,
                              const std::string &Method = "GET");
  /// @returns the id of the last call().
  std::string lastId() const { return "call-" + std::to_string(LastCall); }

  void startNode(const std::string &Machine);
  void startInstance(const std::string &Machine, std::int64_t StartedAt);
  child_process &node(const std::string &Machine);
  stand_in::app_instance &instance(const std::string &Machine);
  std::string logOf(const std::string &Machine) const;

  const std::vector<std::string> &machines() const { return Names; }

  std::unique_ptr<stand_in::kv_store> Store;
  stand_in::run_counts Runs;

private:
  struct machine {
    std::string Host;
    std::string Zone;
    std::string Service;
    std::unique_ptr<child_process> Node;
    std::unique_ptr<stand_in::app_instance> Instance;
  };

  std::string fileOf(const std::string &Machine, const char *Ending) const;

  std::string Folder;
  std::vector<std::string> Names;
  std::map<std::string, machine> Machines;
  unsigned LastCall = 0;
};

/// Waits until @p Holds or half a minute is over.
bool await(const std::function<bool()> &Holds);

} // namespace clementine::test

#endif
