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

/// Where an attempt is when a fault strikes.
enum class attempt_step : std::uint8_t {
  Dialling,
  OrderOnWay,
  Queued,
  Running,
  AnswerOnWay,
};
constexpr std::array<const char *, 5> StepNames = {
    "dialling", "order on its way", "queued", "running", "answer on its way"};

/// What strikes the gate that has the attempt, or the request itself.
enum class mesh_fault : std::uint8_t {
  LinkReset,
  LinkCut,
  LinkSilent,
  NodeKilled,
  NodeFrozen,
  InstanceBreaks,
  InstanceLeaves,
  CallerLeaves,
  TimeIsUp,
};
constexpr std::array<const char *, 9> FaultNames = {
    "link reset",      "link cut",      "link silent",
    "node killed",     "node frozen",   "instance breaks off",
    "instance leaves", "caller leaves", "time is up"};

/// A fault that strikes when an attempt is at a step.
struct planned_fault {
  attempt_step Step = attempt_step::Dialling;
  mesh_fault Fault = mesh_fault::LinkReset;
};

/// What callers and instances saw of the one request.
struct mesh_outcome {
  /// Of each answer.
  std::vector<unsigned> Statuses;
  /// Nodes whose instance got the request.
  std::vector<std::string> Runs;
  /// Runs that began after the instance's leaving was confirmed.
  int RunsAfterLeaving = 0;
  int CompletedRuns = 0;
  bool CallerLeft = false;
  /// How long after its time limit the request was answered, if it was.
  duration Overrun{0};
  /// How many of the planned faults struck.
  std::size_t Struck = 0;
  /// What the entry and the gates still hold at the end.
  std::size_t LeftOver = 0;
};

/// One entry and three gates in virtual time, free of I/O; carries a single
/// request while faults strike its attempts as planned.
class virtual_mesh final : private forward_port {
public:
  static constexpr std::chrono::milliseconds Timeout{400};
  static constexpr std::uint32_t MaxAttempts = 2;

  /// @param Plan faults that strike one after the other; each waits for its
  /// step after the one before has struck.
  virtual_mesh(bool IsIdempotent, std::vector<planned_fault> Plan);
  ~virtual_mesh() override;

  /// Carries the request until nothing is left to happen.
  mesh_outcome run();

private:
  struct gate_node;
  using task = std::function<void()>;

  bool openLink(const node_record &Target) override;
  void send(const std::string &Node, peer_message Message) override;
  void answer(call_number Call, response Response) override;

  gate_node &nodeOf(const std::string &Name);
  void after(duration Delay, task Work);
  void toGate(gate_node &Node, task Work);
  void toEntry(gate_node &Node, task Work);
  void dial(gate_node &Node);
  void dialled(gate_node &Node);
  void loseLink(gate_node &Node);
  void takeOrder(gate_node &Node, attempt_request AttemptRequest);
  void fill(gate_node &Node);
  void startRun(gate_node &Node, const instance_call &Call);
  void endRun(gate_node &Node, const attempt_id &Attempt,
              instance_result Result);
  bool isNext(attempt_step Step) const;
  void reached(attempt_step Step, gate_node &Node, duration Delay);
  void strike(mesh_fault Fault, gate_node &Node);
  void fallSilent(gate_node &Node);
  void breakOff(gate_node &Node);
  void passTime();

  instant Now{std::chrono::seconds(1000)};
  std::multimap<instant, task> Events;
  const std::vector<planned_fault> Plan;
  mesh_outcome Outcome;
  instant LimitAt;
  seeded_random Random{1};
  instance_directory Directory{{"e", "z"}, Random};
  std::map<std::string, std::unique_ptr<gate_node>> Nodes;
  std::unique_ptr<forwarder> Forwarder;
};

} // namespace clementine::proxy::test

#endif
