#ifndef CLEMENTINE_TESTS_PROXY_VIRTUAL_MESH_H
#define CLEMENTINE_TESTS_PROXY_VIRTUAL_MESH_H

#include "clementine_proxy/clementine_proxy.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace clementine::proxy::test {

/// The step of an attempt at which a fault is injected.
enum class attempt_step : std::uint8_t {
  Connecting,
  OrderInTransit,
  Queued,
  Running,
  AnswerInTransit,
};
constexpr std::array<const char *, 5> StepNames = {
    "connecting", "order in transit", "queued", "running", "answer in transit"};

/// A fault of the gate that has the attempt, or of the request itself.
enum class mesh_fault : std::uint8_t {
  LinkReset,
  LinkCut,
  LinkUnresponsive,
  NodeKilled,
  NodeFrozen,
  InstanceFails,
  InstanceDeregisters,
  CallerDisconnects,
  DeadlinePassed,
};
constexpr std::array<const char *, 9> FaultNames = {
    "link reset",           "link cut",           "link unresponsive",
    "node killed",          "node frozen",        "instance fails",
    "instance deregisters", "caller disconnects", "deadline passed"};

/// A fault that is injected when an attempt reaches a step.
struct planned_fault {
  attempt_step Step = attempt_step::Connecting;
  mesh_fault Fault = mesh_fault::LinkReset;
};

/// The effects of the single request on the caller and the instances.
struct mesh_outcome {
  /// The status of each response to the caller.
  std::vector<unsigned> Statuses;
  /// The nodes whose instance received the request.
  std::vector<std::string> Runs;
  /// Runs that started after the instance's deregistration was confirmed.
  int RunsAfterDeregistration = 0;
  int CompletedRuns = 0;
  bool CallerDisconnected = false;
  /// How long after its deadline the request was answered, if at all.
  duration Overrun{0};
  /// How many of the planned faults were injected.
  std::size_t FaultsInjected = 0;
  /// Calls and runs that the forwarder and the gates still hold at the end.
  std::size_t Unfinished = 0;
};

/// One forwarder and three gates in simulated time, without I/O. Processes a
/// single request while planned faults are injected into its attempts.
class virtual_mesh final : private forward_port {
public:
  static constexpr std::chrono::milliseconds Timeout{400};
  static constexpr std::uint32_t MaxAttempts = 2;

  /// @param Plan faults to inject one after the other; each one waits for its
  /// step once the one before it was injected.
  virtual_mesh(bool IsIdempotent, std::vector<planned_fault> Plan);
  ~virtual_mesh() override;

  /// Sends the request and simulates the mesh for a fixed time.
  mesh_outcome run();

private:
  struct gate_node;
  using task = std::function<void()>;

  bool openLink(const node_record &Target) override;
  void send(const std::string &Node, peer_message Message) override;
  void answer(call_number Call, response Response) override;

  gate_node &nodeOf(const std::string &Name);
  void after(duration Delay, task Work);
  void deliverToGate(gate_node &Node, task Work);
  void deliverToEntry(gate_node &Node, task Work);
  void connect(gate_node &Node);
  void connected(gate_node &Node);
  void closeLink(gate_node &Node);
  void receiveOrder(gate_node &Node, attempt_request AttemptRequest);
  void occupySlots(gate_node &Node);
  void startRun(gate_node &Node, const instance_call &Call);
  void endRun(gate_node &Node, const attempt_id &Attempt,
              instance_result Result);
  bool isNextStep(attempt_step Step) const;
  void stepReached(attempt_step Step, gate_node &Node, duration Delay);
  void injectFault(mesh_fault Fault, gate_node &Node);
  void stopResponding(gate_node &Node);
  void failInstance(gate_node &Node);
  void passTime();

  instant Now{std::chrono::seconds(1000)};
  std::multimap<instant, task> Events;
  const std::vector<planned_fault> Plan;
  mesh_outcome Outcome;
  instant DeadlineAt;
  seeded_random Random{1};
  instance_directory Directory{{"e", "z"}, Random};
  std::map<std::string, std::unique_ptr<gate_node>> Nodes;
  std::unique_ptr<forwarder> Forwarder;
};

} // namespace clementine::proxy::test

#endif
