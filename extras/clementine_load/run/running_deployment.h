#ifndef CLEMENTINE_LOAD_RUN_RUNNING_DEPLOYMENT_H
#define CLEMENTINE_LOAD_RUN_RUNNING_DEPLOYMENT_H

#include "clementine_load/description/deployment.h"
#include "clementine_load/description/scenario.h"
#include "clementine_load/measure/run_journal.h"
#include "clementine_load/run/process_group.h"
#include "stand_in_http/http_client.h"

#include <atomic>
#include <stdexcept>
#include <string>
#include <vector>

namespace clementine::load {

/// The deployment could not be started.
class start_error final : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Where the programs and the files of a run are.
struct run_folders {
  /// The folder of the built programs.
  std::string Programs;
  /// A folder for settings, logs and journals; made if it is missing.
  std::string Work;
  /// Lines in INI form that every node's settings end with; may be empty.
  std::string ExtraSettings;
};

/// A deployment as processes on loopback: the stand-in platform, and a node
/// with a stand-in upstream for each instance.
class running_deployment {
public:
  /// @param Deployment has to outlive the object.
  running_deployment(const deployment &Deployment, run_folders Folders,
                     node_keys Keys, std::uint64_t Seed);

  running_deployment(const running_deployment &) = delete;
  running_deployment &operator=(const running_deployment &) = delete;

  /// Starts the platform.
  /// @throws start_error if it does not answer.
  void startPlatform();

  /// Starts upstreams and nodes.
  /// @throws start_error if a program can't be started.
  void startInstances();

  /// Waits until each stream's operation has been served once through each
  /// node.
  /// @returns an empty text, or what was not served in time.
  std::string awaitReady(const std::vector<load_stream> &Streams,
                         duration Timeout);

  /// Begins or ends a fault.
  void apply(const scheduled_fault &Fault, bool IsBegin);

  /// Asks all processes to end, nodes first.
  /// @returns the names of those that had to be killed.
  std::vector<std::string> stop();

  /// Kills all processes at once.
  void kill() { Processes.killAll(); }

  /// Reads the journals of all upstreams.
  /// @returns the runs; malformed lines are counted in @p Malformed.
  run_index readJournals(std::size_t &Malformed) const;

  /// @returns the base URLs of all nodes for callers.
  std::vector<std::string> nodeUrls() const;

private:
  std::string awaitNodeReady(const std::string &NodeUrl,
                             const std::vector<load_stream> &Streams,
                             instant End);

  /// Makes one call.
  /// @returns an empty text if it was served whole, or what was wrong.
  std::string probe(const std::string &NodeUrl, const load_stream &Stream);

  void startUpstream(const instance_description &Instance);
  void startNode(const instance_description &Instance);
  std::string journalOf(const instance_description &Instance) const;
  std::string logOf(const std::string &Name) const;
  void postFaults(const std::string &BaseUrl, const std::string &Json);
  void applyToInstance(const scheduled_fault &Fault, bool IsBegin,
                       const instance_description &Instance);

  const deployment &Deployment;
  const run_folders Folders;
  const node_keys Keys;
  const std::uint64_t Seed;
  const std::vector<instance_description> Instances;
  stand_in::http_client Client;
  process_group Processes;
  std::atomic<std::uint64_t> Probes{0};
};

} // namespace clementine::load

#endif
