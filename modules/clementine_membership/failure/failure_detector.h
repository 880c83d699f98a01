#ifndef CLEMENTINE_MEMBERSHIP_FAILURE_FAILURE_DETECTOR_H
#define CLEMENTINE_MEMBERSHIP_FAILURE_FAILURE_DETECTOR_H

#include "clementine_membership/failure/local_health.h"
#include "clementine_membership/spread/disseminator.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace clementine {

/// Probes other members, directly and through helpers, and marks members that
/// do not answer as suspected and then as dead.
///
/// SWIM (Das, Gupta, Motivala: SWIM, 2002) with Lifeguard's local health,
/// dynamic suspicion timeout and Nacks from helpers. In addition, when more
/// than half of the members appear unreachable, the local node may itself be
/// partitioned, so suspected members are not declared dead until they have been
/// suspected for longer than DeadRetention.
class failure_detector {
public:
  failure_detector(const membership_settings &Settings, random_source &Random,
                   member_table &Table, disseminator &Disseminator);

  failure_detector(const failure_detector &) = delete;
  failure_detector &operator=(const failure_detector &) = delete;

  /// Handles Probe, Ack, ProbeRequest and Nack.
  void receive(const endpoint &From, const gossip_message &Message,
               instant Now);

  /// Updates suspicions and recent deaths after a change of another member.
  void memberChanged(member_key Key, const merge_outcome &Outcome, instant Now);

  /// Drops open probes and restarts suspicion timeouts after a pause of the
  /// local process, since no datagrams were received meanwhile.
  void restartAfterPause(instant Now);
  /// Worsens the local health score after the local node had to refute an
  /// accusation.
  void recordRefutation() { Health.worsen(1); }

  /// Probes a member that need not be a peer, for example a dead one.
  void reconnect(const member_entry &Entry, instant Now);

  /// Sends and ends probes and expires suspicions that are due.
  void tick(instant Now);
  /// @returns when tick() has work.
  instant nextWake() const;

  /// @returns the local health score, 0 for a healthy node.
  int healthScore() const { return Health.score(); }

private:
  struct open_probe {
    member_key Target = 0;
    std::uint32_t Nonce = 0;
    instant IndirectAt;
    instant Deadline;
    bool IndirectRequested = false;
    std::size_t Helpers = 0;
    std::size_t Nacks = 0;
  };
  /// A probe on behalf of another member.
  struct relayed_probe {
    std::uint32_t Nonce = 0;
    member_key Target = 0;
    endpoint Origin;
    std::uint32_t OriginNonce = 0;
    instant NackAt;
    instant Deadline;
    bool NackSent = false;
  };

  void startProbe(instant Now);
  void requestIndirectProbes(instant Now);
  void endProbe(instant Now);
  void sendProbe(const member_entry &Target, std::uint32_t Nonce,
                 bool IncludeSelf, instant Now);
  const member_entry *nextTarget();
  void answerProbe(const endpoint &From, const gossip_message &Message,
                   instant Now);
  void handleAck(const gossip_message &Message, instant Now);
  void relayProbe(const endpoint &From, const gossip_message &Message,
                  instant Now);
  void tickRelayedProbes(instant Now);
  void checkSuspects(instant Now);
  instant suspicionEnd(const member_entry &Entry) const;
  bool majorityUnreachable(instant Now);
  void sendNack(const endpoint &To, std::uint32_t Nonce, member_key Subject,
                instant Now);

  const membership_settings &Settings;
  random_source &Random;
  member_table &Table;
  disseminator &Disseminator;
  local_health Health;
  std::vector<member_key> ProbeOrder;
  std::optional<open_probe> Probe;
  std::vector<relayed_probe> RelayedProbes;
  std::set<member_key> Suspects;
  /// When each member that is still dead was found dead.
  std::map<member_key, instant> RecentDeaths;
  instant NextProbe{};
  instant NextSuspectCheck = instant::max();
  std::uint32_t NextNonce = 0;
};

} // namespace clementine

#endif
