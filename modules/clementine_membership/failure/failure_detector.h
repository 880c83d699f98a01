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

/// Probes other members, directly and through helpers, and turns those that
/// stay silent into suspected and then dead ones.
///
/// SWIM (Das, Gupta, Motivala: SWIM, 2002) with Lifeguard's local health,
/// dynamic suspicion and refusals of helpers. Beyond them: when more than half
/// of the members seem silent, the own node may be the one that is cut off, so
/// suspects stay suspects for as long as dead members are remembered.
class failure_detector {
public:
  failure_detector(const membership_settings &Settings, random_source &Random,
                   member_table &Table, disseminator &Spread);

  failure_detector(const failure_detector &) = delete;
  failure_detector &operator=(const failure_detector &) = delete;

  /// Handles Probe, Ack, ProbeRequest and Nack.
  void receive(const endpoint &From, const gossip_message &Message,
               instant Now);

  /// Hears of each change of another member.
  void changed(member_key Key, const merge_outcome &Outcome, instant Now);

  /// Notes that the own node was paused: open probes and suspicions start over,
  /// since nothing could be heard meanwhile.
  void resumed(instant Now);
  /// Notes that the own node had to refute.
  void refuted() { Health.worsen(1); }

  /// Probes a member that need not be a peer, for instance a dead one.
  void reconnect(const member_entry &Entry, instant Now);

  /// Does what is due.
  void tick(instant Now);
  /// @returns when tick() has work.
  instant nextWake() const;

  /// @returns the local health score, 0 for a healthy node.
  int healthScore() const { return Health.score(); }

private:
  struct open_probe {
    member_key Target = 0;
    std::uint32_t Nonce = 0;
    instant HelpAt;
    instant EndsAt;
    bool HelpAsked = false;
    std::size_t Helpers = 0;
    std::size_t Nacks = 0;
  };
  /// A probe on behalf of another member.
  struct helped_probe {
    std::uint32_t Nonce = 0;
    member_key Target = 0;
    endpoint Origin;
    std::uint32_t OriginNonce = 0;
    instant NackAt;
    instant EndsAt;
    bool NackSent = false;
  };

  void startProbe(instant Now);
  void askHelpers(instant Now);
  void endProbe(instant Now);
  void sendProbe(const member_entry &Target, std::uint32_t Nonce, bool WithSelf,
                 instant Now);
  const member_entry *nextTarget();
  void answerProbe(const endpoint &From, const gossip_message &Message,
                   instant Now);
  void takeAck(const gossip_message &Message, instant Now);
  void help(const endpoint &From, const gossip_message &Message, instant Now);
  void tickHelped(instant Now);
  void tickSuspects(instant Now);
  instant suspicionEnd(const member_entry &Entry) const;
  bool mostAreSilent(instant Now);
  void sendNack(const endpoint &To, std::uint32_t Nonce, member_key Subject,
                instant Now);

  const membership_settings &Settings;
  random_source &Random;
  member_table &Table;
  disseminator &Spread;
  local_health Health;
  std::vector<member_key> Round;
  std::optional<open_probe> Probe;
  std::vector<helped_probe> Helped;
  std::set<member_key> Suspects;
  /// When members that are still dead were found so.
  std::map<member_key, instant> RecentDeaths;
  instant NextProbe{};
  instant NextSuspectCheck = instant::max();
  std::uint32_t NextNonce = 0;
};

} // namespace clementine

#endif
