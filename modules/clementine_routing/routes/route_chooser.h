#ifndef CLEMENTINE_ROUTING_ROUTES_ROUTE_CHOOSER_H
#define CLEMENTINE_ROUTING_ROUTES_ROUTE_CHOOSER_H

#include "clementine_admission/gate/admission_level.h"
#include "clementine_core/errors/result.h"
#include "clementine_core/random/random_source.h"
#include "clementine_core/time/clock.h"
#include "clementine_routing/routes/expiring_level.h"
#include "clementine_routing/routes/route_candidate.h"

#include <compare>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementine {

/// Settings of a route_chooser.
struct route_settings {
  /// The name of the choosing node; it determines the subset.
  std::string OwnName;
  std::string OwnDataCentre;
  /// The maximum number of instances used in the own data centre, and again in
  /// all others.
  std::size_t SubsetSize = 20;
  /// The time after which a warming instance receives its full share.
  duration SlowStart = std::chrono::seconds(10);
  /// The initial share of a warming instance.
  double InitialShare = 0.1;
  /// The weight of a measured latency decreases with its age, to 0 after this
  /// time, so that an instance that was slow is tried again.
  duration LatencyLifetime = std::chrono::seconds(10);
  /// How long an instance that did not answer is avoided; doubles with each
  /// further call without an answer, up to the maximum.
  duration NoAnswerBackoff = std::chrono::seconds(1);
  duration MaximumNoAnswerBackoff = std::chrono::seconds(8);
  expiring_level_settings Expiry;

  auto operator<=>(const route_settings &) const = default;
};

/// A call that needs an instance.
struct route_request {
  admission_rank Rank;
  /// The names of the nodes that this call has already tried.
  std::vector<std::string> Excluded;

  auto operator<=>(const route_request &) const = default;
};

/// The instance chosen for a call.
struct route_choice {
  node_identity Node;
  /// The instance is in another data centre.
  bool IsSpillover = false;
  /// The instance is not expected to accept the call; the call tests that.
  bool IsProbe = false;

  auto operator<=>(const route_choice &) const = default;
};

/// Why no instance was chosen. The call was not sent, so it was not run.
enum class route_failure : std::uint8_t {
  /// No instance is known that accepts work.
  NoInstance,
  /// All instances have been tried.
  AllTried,
  /// According to their levels, all instances would refuse it.
  AllWouldRefuse,
};

/// How an answered call ended.
enum class answer_kind : std::uint8_t {
  /// The upstream answered.
  Completed,
  /// The gate refused it, which says nothing about latency.
  Refused,
  /// The upstream failed.
  Failed,
};

/// Chooses the instance of one service for each call.
///
/// Of two random instances whose level admits the call, it takes the one with
/// the lower (calls in flight + 1) * latency / share, where failures raise the
/// latency. Instances in the own data centre are preferred; the others are used
/// only if none of those admits the call. If none admits it anywhere, a
/// critical or high call still goes to the instance with the most open level,
/// and others only as probes.
///
/// Large services are limited to subsets by rendezvous hash, so that a change
/// of one instance changes few connections.
///
/// @see Mitzenmacher: The Power of Two Choices in Randomized Load Balancing,
/// 2001.
class route_chooser {
public:
  /// @param Random must outlive the chooser.
  route_chooser(route_settings Settings, random_source &Random);

  route_chooser(const route_chooser &) = delete;
  route_chooser &operator=(const route_chooser &) = delete;

  /// Replaces the set of instances. Measurements of an instance are kept as
  /// long as its incarnation stays the same.
  void setCandidates(const std::vector<route_candidate> &Candidates,
                     instant Now);

  /// Chooses an instance. The call counts as in flight only after onSend().
  result<route_choice, route_failure> choose(const route_request &Request,
                                             instant Now);

  /// Records that a call is sent to a node.
  void onSend(const node_identity &Node, instant Now);

  /// Records an answer and ends the call.
  void onAnswer(const node_identity &Node, answer_kind Kind, duration Latency,
                admission_level Level, instant Now);

  /// Records that a call got no answer. This ends the call, and the instance is
  /// avoided for a while.
  void onNoAnswer(const node_identity &Node, instant Now);

  /// Records that a node which had not answered is responding again, by a
  /// heartbeat or a late answer.
  void onAlive(const node_identity &Node);

  /// @returns the number of calls in flight to a node.
  std::size_t inFlight(const node_identity &Node) const;

  /// @returns the number of instances in use, after the limitation to subsets.
  std::size_t size() const { return Local.size() + Remote.size(); }

  /// @returns the mean latency of the service, 0 if unknown.
  duration meanLatency() const { return duration(duration::rep(Mean)); }

private:
  struct instance {
    route_candidate Candidate;
    instant FirstSeen;
    std::size_t InFlight = 0;
    /// Nanoseconds; 0 if unknown.
    double Latency = 0;
    instant MeasuredAt;
    double FailureShare = 0;
    unsigned UnansweredInRow = 0;
    instant AvoidedUntil;
    expiring_level Level;
  };
  using index_list = std::vector<std::size_t>;

  void rebuildSubsets();
  void limitToSubset(index_list &Subset) const;
  instance *find(const node_identity &Node);
  const instance *pickOfTwo(const index_list &Subset,
                            const route_request &Request, instant Now);
  const instance *betterOf(const instance *Left, const instance *Right,
                           instant Now) const;
  instance *pickProbeTarget(const route_request &Request, instant Now);
  const instance *pickUnresponsive(const route_request &Request) const;
  bool isUsable(const instance &Instance, const route_request &Request) const;
  bool isEligible(const instance &Instance, const route_request &Request,
                  instant Now) const;
  double score(const instance &Instance, instant Now) const;
  route_choice choiceOf(const instance &Instance, bool IsProbe) const;
  route_failure failureOf(const route_request &Request) const;

  const route_settings Settings;
  random_source &Random;
  std::vector<instance> Instances;
  std::unordered_map<std::string, std::size_t> ByName;
  index_list Local;
  index_list Remote;
  index_list Eligible;
  double Mean = 0;
};

} // namespace clementine

#endif
