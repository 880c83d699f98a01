/// Several request engines in virtual time, connected by fakes of the
/// transport, the upstreams and the platform. The fakes can drop and delay
/// messages, pause and kill nodes, and partition the network.
///
/// The fakes are minimal by design: they read only as much of a request as they
/// need to record runs and answers.
#ifndef CLEMENTINE_TESTS_REQUEST_VIRTUAL_NODES_H
#define CLEMENTINE_TESTS_REQUEST_VIRTUAL_NODES_H

#include "clementine_request/clementine_request.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace clementine::test {

/// The fault that the fake platform injects into its answers to claims.
enum class platform_fault { None, Down, LostAnswer, Slow };

/// A run on an upstream, as recorded by the fake upstream.
struct observed_run {
  std::string Key;
  /// The whole request that caused the run.
  request_id Request;
  std::string Service;
  std::string Nonce;
};

/// The answer to one send.
struct delivered_answer {
  std::string Key;
  int Send = 0;
  std::string Nonce;
  caller_answer Answer;
};

/// The settings of a simulated_cluster.
struct cluster_settings {
  std::size_t NodesPerService = 3;
  /// The services of a call chain; callers call the first one.
  std::vector<std::string> Services = {"front", "desk"};
  /// The text of the bundle that all nodes use.
  std::string BundleText;
  std::size_t Limit = 4;
  std::uint64_t Seed = 1;
  duration ServiceTime = std::chrono::milliseconds(10);
};

/// A cluster of nodes in virtual time, with fault injection.
class simulated_cluster {
public:
  explicit simulated_cluster(cluster_settings Settings);
  ~simulated_cluster();

  simulated_cluster(const simulated_cluster &) = delete;
  simulated_cluster &operator=(const simulated_cluster &) = delete;

  /// Sends a request to node @p Entry at the current time.
  void send(std::size_t Entry, const std::string &Caller,
            const std::string &Operation, const std::string &Key, int Send,
            send_number Number, duration Timeout = std::chrono::seconds(2));

  void run(duration Time);
  /// Ends partitions and platform faults, then runs for 30 s of virtual time,
  /// so that every call can be answered.
  void settle();

  std::size_t size() const { return Nodes.size(); }
  /// Restarts the process of a node. Its upstream keeps running, unless the
  /// whole VM is replaced.
  void kill(std::size_t Node, bool WholeVm);
  void pause(std::size_t Node, duration Time);
  /// Drops all messages between two nodes until heal(). Their links break only
  /// after the heartbeat timeout.
  void partition(std::size_t Left, std::size_t Right);
  void heal();
  void drain(std::size_t Node);
  void setPlatform(platform_fault Fault) { Platform = Fault; }
  /// Makes the upstream run its next request and break the connection before it
  /// answers.
  void breakNextAnswer(std::size_t Node);
  /// Makes the upstream refuse its next request without running it.
  void refuseNext(std::size_t Node);

  std::vector<observed_run> Runs;
  std::vector<delivered_answer> Delivered;
  std::vector<entry_report> Reports;
  /// The number of the send that each whole request belongs to.
  std::map<request_id, int> SendOfRequest;

private:
  struct virtual_node;
  struct virtual_link;
  using task = std::function<void()>;

  void after(duration Delay, task Work);
  void onNode(std::size_t Node, duration Delay, task Work);
  void step();
  void startNode(std::size_t Node);
  void scheduleTick(std::size_t Node, std::uint64_t Generation);
  void refreshDirectories();
  bool isPartitioned(std::size_t Left, std::size_t Right) const;
  void openLink(std::size_t From, link_id Link, const endpoint &Remote);
  void sendOn(std::size_t From, link_id Link, peer_message Message);
  void arriveOn(const std::shared_ptr<virtual_link> &Link, std::size_t To,
                duration Delay, task Work);
  void closeLink(std::size_t From, link_id Link);
  void breakLink(const std::shared_ptr<virtual_link> &Link, duration Delay);
  void callUpstream(std::size_t Node, const upstream_call &Call);
  void finishUpstream(std::size_t Node, const request_id &Token);
  void claim(std::size_t Node, const claim_request &Request);
  void answer(std::size_t Node, caller_answer Answer);
  duration delay();

  const cluster_settings Settings;
  std::shared_ptr<const bundle> Bundle;
  seeded_random Random;
  instant Now{std::chrono::seconds(1)};
  std::multimap<std::pair<instant, std::uint64_t>, task> Tasks;
  std::uint64_t NextTask = 0;
  std::vector<std::unique_ptr<virtual_node>> Nodes;
  std::set<std::pair<std::size_t, std::size_t>> Partitions;
  platform_fault Platform = platform_fault::None;
  std::map<std::string, std::pair<std::uint64_t, node_identity>> Claims;
  std::uint64_t NextClaim = 1;
  link_id NextAccepted = FirstAcceptedLink;
  std::uint64_t NextIncarnation = 1;

  struct open_send {
    std::string Key;
    int Send = 0;
    std::string Nonce;
  };
  std::map<std::pair<std::size_t, call_id>, open_send> OpenSends;
  call_id NextCall = 1;
};

} // namespace clementine::test

#endif
