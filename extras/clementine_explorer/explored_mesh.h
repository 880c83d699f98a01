#ifndef CLEMENTINE_EXPLORER_EXPLORED_MESH_H
#define CLEMENTINE_EXPLORER_EXPLORED_MESH_H

#include "clementine_proxy/clementine_proxy.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementine::explorer {

/// One event of a mesh.
enum class step_kind : std::uint8_t {
  /// A caller sends a request.
  Begin,
  /// The oldest message on a link reaches the gate; the entry may have given up
  /// that link long before.
  ArriveAtGate,
  /// The oldest message on the link to a gate reaches the entry.
  ArriveAtEntry,
  /// The instance completes its oldest run.
  Complete,
  /// The link breaks: the entry learns of it, the gate need not.
  Cut,
  Connect,
  FailToConnect,
  /// Nothing has been received on the link for some time.
  Silent,
  /// The gate stores another run and forgets some of what it knows.
  Forget,
  RestartGate,
  RestartEntry,
  Depart,
  /// Time passes up to the next time limit of the entry.
  PassTime,
};
constexpr std::size_t StepKinds = 13;

/// @returns the name of @p Kind, in words.
std::string_view stepName(step_kind Kind);

/// An event and the link or gate to which it happens.
struct step {
  step_kind Kind = step_kind::Begin;
  std::uint8_t Target = 0;

  bool operator==(const step &) const = default;
};

/// The bounds of an exploration.
struct exploration_settings {
  bool IsIdempotent = false;
  /// The number of steps from the start.
  unsigned Depth = 10;
  unsigned Requests = 1;
  /// How many faults happen on one way at most: links that break, fall silent
  /// or do not come about, restarts and departures.
  unsigned Faults = 2;
  /// How often gates forget on one way at most.
  unsigned Forgettings = 2;
};

/// The real forwarder, and two real gates with an instance of one slot each,
/// in a network and with a clock that are moved by hand, one step at a time.
class explored_mesh final : private proxy::forward_port {
public:
  explicit explored_mesh(const exploration_settings &Settings);
  ~explored_mesh() override;

  /// @returns the steps that are possible now.
  std::vector<step> steps() const;
  void apply(step Step);

  /// Lets time pass, and nothing else happen, until each request that has begun
  /// is answered or nothing is left to wait for.
  void finish();

  /// @returns which promise is broken, if any: that a request which is not
  /// idempotent runs once at most, that one answered as not run does not run,
  /// that each is answered once.
  std::optional<std::string> violation() const;
  /// @returns a request without an answer, if any; for use after finish().
  std::optional<std::string> unanswered() const;

  /// @returns a hash of what each process has received so far, in order. Two
  /// meshes with the same one behave the same from now on.
  std::uint64_t fingerprint() const;

private:
  struct gate_process;
  struct link {
    std::size_t Gate = 0;
    /// Whether the entry holds it open.
    bool IsUp = true;
    /// Whether the gate's process has ended.
    bool IsDead = false;
    std::deque<proxy::peer_message> ToGate;
    std::deque<proxy::peer_message> ToEntry;
  };
  struct request_record {
    /// The process of the entry that accepted it.
    std::uint64_t Entry = 0;
    unsigned Runs = 0;
    std::vector<unsigned> Statuses;
  };

  bool openLink(const proxy::node_record &Gate) override;
  void send(const std::string &Node, proxy::peer_message Message) override;
  void answer(proxy::call_number Call, proxy::response Response) override;

  void startEntry();
  void begin();
  void arriveAtGate(link &Link, std::uint64_t Number);
  void arriveAtEntry(std::size_t Gate);
  void connect(std::size_t Gate);
  void closeLink(std::size_t Gate);
  void forget(std::size_t Gate);
  void restartGate(std::size_t Gate);
  void passTime();
  void started(const proxy::instance_call &Call);
  void report(std::uint64_t Link, proxy::run_report Report);
  void received(std::uint64_t &History, step Step) const;
  void addGateSteps(std::uint8_t Gate, std::vector<step> &Steps) const;
  bool mayHappen(step Step) const;

  const exploration_settings Settings;
  instant Now{std::chrono::seconds(1000)};
  unsigned Faults = 0;
  unsigned Forgettings = 0;
  std::vector<std::unique_ptr<gate_process>> Gates;
  std::vector<link> Links;
  /// For each gate, the number of the link that the entry holds open, and
  /// whether it opens one.
  std::vector<std::optional<std::size_t>> UpLinks;
  std::vector<bool> Connecting;
  std::map<std::string, request_record> Requests;
  std::map<proxy::call_number, std::string> RequestByCall;
  std::uint64_t Incarnation = 0;
  std::uint64_t Fillers = 0;
  std::uint64_t EntryHistory = 0;
  std::unique_ptr<seeded_random> Random;
  std::unique_ptr<proxy::instance_directory> Directory;
  std::unique_ptr<proxy::forwarder> Forwarder;
};

} // namespace clementine::explorer

#endif
