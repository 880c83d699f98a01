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

/// An error that prevents the start of the experiment.
class start_error final : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// The locations of the programs and files of a run.
struct run_folders {
  /// The folder of the built programs.
  std::string Programs;
  /// The folder for settings, logs and journals; created if it does not exist.
  std::string Work;
  /// Text in INI format that is appended to the settings of every node; may be
  /// empty.
  std::string ExtraSettings;
};

/// A deployment that runs as processes on loopback addresses: the stand-in
/// platform, and a node with a stand-in upstream for each instance.
class running_deployment {
public:
  /// @param Deployment has to outlive the object.
  running_deployment(const deployment &Deployment, run_folders Folders,
                     node_keys Keys, std::uint64_t Seed);

  running_deployment(const running_deployment &) = delete;
  running_deployment &operator=(const running_deployment &) = delete;

  /// Starts the stand-in platform and waits until it responds.
  /// @throws start_error if it can't be started or does not respond.
  void startPlatform();

  /// Starts all nodes, then all upstreams.
  /// @throws start_error if settings can't be written or a program can't be
  /// started.
  void startInstances();

  /// Waits until each stream's operation has been served once through each
  /// node.
  /// @returns an empty string, or a description of a call that failed until the
  /// timeout.
  std::string awaitReady(const std::vector<load_stream> &Streams,
                         duration Timeout);

  /// Begins or ends a fault.
  void apply(const scheduled_fault &Fault, bool IsBegin);

  /// Terminates all processes, nodes first.
  /// @returns the names of the processes that had to be killed.
  std::vector<std::string> stop();

  /// Kills all processes at once.
  void kill() { Processes.killAll(); }

  /// Reads the journals of all upstreams.
  /// @returns the runs; malformed lines are counted in @p Malformed.
  run_index readJournals(std::size_t &Malformed) const;

  /// @returns the base URLs at which the nodes accept calls.
  std::vector<std::string> nodeUrls() const;

private:
  std::string awaitNodeReady(const std::string &NodeUrl,
                             const std::vector<load_stream> &Streams,
                             instant End);

  /// Makes one call.
  /// @returns an empty string if it succeeded, or a description of the failure.
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
