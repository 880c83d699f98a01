#include "clementine_membership/failure/failure_detector.h"

#include "clementine_membership/failure/suspicion.h"

#include <algorithm>
#include <utility>

namespace clementine {

namespace {

/// The maximum number of concurrent probes on behalf of other members.
constexpr std::size_t MaxRelayedProbes = 64;
/// The fraction of the probe timeout after which a helper sends a Nack.
constexpr double NackTimeoutFraction = 0.8;
/// How often suspicions are checked for expiry.
constexpr duration SuspectCheckInterval = std::chrono::milliseconds(250);
/// Members found dead within this time count as unreachable when checking
/// whether a majority is unreachable.
constexpr duration RecentDeathWindow = std::chrono::seconds(60);

duration fractionOf(duration Whole, double Fraction) {
  return std::chrono::duration_cast<duration>(Whole * Fraction);
}

gossip_message probeMessage(message_kind Kind, std::uint32_t Nonce,
                            member_key Subject) {
  gossip_message Message;
  Message.Kind = Kind;
  Message.Nonce = Nonce;
  Message.Subject = Subject;
  return Message;
}

} // namespace

failure_detector::failure_detector(const membership_settings &Settings,
                                   random_source &Random, member_table &Table,
                                   disseminator &Disseminator)
    : Settings(Settings), Random(Random), Table(Table),
      Disseminator(Disseminator),
      NextNonce(static_cast<std::uint32_t>(Random.next())) {}

void failure_detector::receive(const endpoint &From,
                               const gossip_message &Message, instant Now) {
  if (Message.Kind == message_kind::Probe)
    answerProbe(From, Message, Now);
  if (Message.Kind == message_kind::Ack)
    handleAck(Message, Now);
  if (Message.Kind == message_kind::ProbeRequest)
    relayProbe(From, Message, Now);
  if (Message.Kind != message_kind::Nack || !Probe)
    return;
  if (Message.Nonce == Probe->Nonce && Message.Subject == Probe->Target)
    ++Probe->Nacks;
}

void failure_detector::memberChanged(member_key Key,
                                     const merge_outcome &Outcome,
                                     instant Now) {
  if (Outcome.After == member_state::Dead)
    RecentDeaths.try_emplace(Key, Now);
  else
    RecentDeaths.erase(Key);
  const member_entry *Entry = Table.find(Key);
  const bool Suspected =
      Entry && Entry->Claim.isAccused() &&
      Entry->Claim.Accused.Level == accusation_level::Suspect &&
      Outcome.After != member_state::Left;
  if (!Suspected) {
    Suspects.erase(Key);
    return;
  }
  Suspects.insert(Key);
  NextSuspectCheck = std::min(NextSuspectCheck, Now + SuspectCheckInterval);
}

void failure_detector::restartAfterPause(instant Now) {
  Probe.reset();
  RelayedProbes.clear();
  for (const member_key Key : Suspects)
    Table.restartSuspicion(Key, Now);
  Health.worsen(1);
  NextProbe = Now;
}

void failure_detector::reconnect(const member_entry &Entry, instant Now) {
  sendProbe(Entry, ++NextNonce, true, Now);
}

void failure_detector::tick(instant Now) {
  if (Probe && !Probe->IndirectRequested && Now >= Probe->IndirectAt)
    requestIndirectProbes(Now);
  if (Probe && Now >= Probe->Deadline)
    endProbe(Now);
  if (Now >= NextProbe)
    startProbe(Now);
  tickRelayedProbes(Now);
  if (Now >= NextSuspectCheck)
    checkSuspects(Now);
}

instant failure_detector::nextWake() const {
  instant Wake = std::min(NextProbe, NextSuspectCheck);
  if (Probe)
    Wake = std::min(Wake, Probe->IndirectRequested ? Probe->Deadline
                                                   : Probe->IndirectAt);
  for (const relayed_probe &Each : RelayedProbes)
    Wake = std::min(Wake, Each.NackSent ? Each.Deadline : Each.NackAt);
  return Wake;
}

void failure_detector::startProbe(instant Now) {
  if (Probe)
    endProbe(Now);
  const duration Interval = Health.scale(Settings.ProbeInterval);
  NextProbe = Now + Interval;
  const member_entry *Target = nextTarget();
  if (!Target)
    return;
  open_probe NewProbe;
  NewProbe.Target = Target->Key;
  NewProbe.Nonce = ++NextNonce;
  NewProbe.IndirectAt = Now + Health.scale(Settings.ProbeTimeout);
  NewProbe.Deadline = NextProbe;
  Probe = NewProbe;
  sendProbe(*Target, NewProbe.Nonce, false, Now);
}

const member_entry *failure_detector::nextTarget() {
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    while (!ProbeOrder.empty()) {
      const member_entry *Entry = Table.find(ProbeOrder.back());
      ProbeOrder.pop_back();
      if (Entry && Entry->PeerIndex)
        return Entry;
    }
    // Each round probes all peers in a new random order.
    ProbeOrder = Table.peers();
    for (std::size_t Left = ProbeOrder.size(); Left > 1; --Left)
      std::swap(ProbeOrder[Left - 1], ProbeOrder[Random.below(Left)]);
  }
  return nullptr;
}

void failure_detector::sendProbe(const member_entry &Target,
                                 std::uint32_t Nonce, bool IncludeSelf,
                                 instant Now) {
  gossip_message Message = probeMessage(message_kind::Probe, Nonce, Target.Key);
  // The probe carries the accusation, so that the target can refute it on the
  // first message that arrives.
  if (Target.Claim.isAccused())
    Message.Updates.push_back(disseminator::accusationOf(Target));
  if (IncludeSelf)
    Message.Claims.push_back(Table.self().Claim);
  Disseminator.send(Target.Claim.Record.Gossip, std::move(Message),
                    message_priority::Probe, Now);
}

void failure_detector::requestIndirectProbes(instant Now) {
  Probe->IndirectRequested = true;
  // One more than needed, since the target itself may be among the candidates.
  const auto Candidates = Disseminator.randomPeers(Settings.IndirectProbes + 1);
  for (const member_entry *Helper : Candidates) {
    if (Helper->Key == Probe->Target ||
        Probe->Helpers == Settings.IndirectProbes)
      continue;
    ++Probe->Helpers;
    Disseminator.send(
        Helper->Claim.Record.Gossip,
        probeMessage(message_kind::ProbeRequest, Probe->Nonce, Probe->Target),
        message_priority::Probe, Now);
  }
}

void failure_detector::endProbe(instant Now) {
  const open_probe Failed = *Probe;
  Probe.reset();
  // A Nack from every helper shows that the fault is not in the local node.
  const bool NacksMissing = Failed.Nacks < Failed.Helpers;
  if (NacksMissing || Failed.Helpers == 0)
    Health.worsen(1);
  const member_entry *Entry = Table.find(Failed.Target);
  if (!Entry || !Entry->PeerIndex)
    return;
  const std::uint64_t Incarnation =
      std::max(Entry->Claim.Record.Identity.Incarnation,
               Entry->Claim.Accused.Incarnation);
  Disseminator.accuse(Failed.Target, {Incarnation, accusation_level::Suspect},
                      Now);
}

void failure_detector::answerProbe(const endpoint &From,
                                   const gossip_message &Message, instant Now) {
  gossip_message Reply =
      probeMessage(message_kind::Ack, Message.Nonce, Table.self().Key);
  const member_entry *Sender = Table.find(Message.Sender);
  if (!Sender ||
      Message.Incarnation > Sender->Claim.Record.Identity.Incarnation)
    Reply.RequestedKeys.push_back(Message.Sender);
  else if (Sender->Claim.isAccused())
    Reply.Updates.push_back(disseminator::accusationOf(*Sender));
  if (!Sender || Sender->Claim.state() == member_state::Dead)
    Reply.Claims.push_back(Table.self().Claim);
  Disseminator.send(From, std::move(Reply), message_priority::Probe, Now);
}

void failure_detector::handleAck(const gossip_message &Message, instant Now) {
  if (Probe && Message.Nonce == Probe->Nonce &&
      Message.Subject == Probe->Target) {
    Probe.reset();
    Health.improve();
    return;
  }
  const auto Found = std::find_if(
      RelayedProbes.begin(), RelayedProbes.end(), [&](const auto &Each) {
        return Each.Nonce == Message.Nonce && Each.Target == Message.Sender;
      });
  if (Found == RelayedProbes.end())
    return;
  Disseminator.send(
      Found->Origin,
      probeMessage(message_kind::Ack, Found->OriginNonce, Found->Target),
      message_priority::Probe, Now);
  RelayedProbes.erase(Found);
}

void failure_detector::relayProbe(const endpoint &From,
                                  const gossip_message &Message, instant Now) {
  const member_entry *Target = Table.find(Message.Subject);
  if (!Target || RelayedProbes.size() >= MaxRelayedProbes) {
    sendNack(From, Message.Nonce, Message.Subject, Now);
    return;
  }
  relayed_probe NewProbe;
  NewProbe.Nonce = ++NextNonce;
  NewProbe.Target = Message.Subject;
  NewProbe.Origin = From;
  NewProbe.OriginNonce = Message.Nonce;
  NewProbe.NackAt =
      Now + fractionOf(Settings.ProbeTimeout, NackTimeoutFraction);
  NewProbe.Deadline = Now + Settings.ProbeInterval;
  RelayedProbes.push_back(NewProbe);
  sendProbe(*Target, NewProbe.Nonce, false, Now);
}

void failure_detector::tickRelayedProbes(instant Now) {
  for (relayed_probe &Each : RelayedProbes) {
    if (Each.NackSent || Now < Each.NackAt)
      continue;
    Each.NackSent = true;
    sendNack(Each.Origin, Each.OriginNonce, Each.Target, Now);
  }
  std::erase_if(RelayedProbes, [&](const relayed_probe &Each) {
    return Now >= Each.Deadline;
  });
}

void failure_detector::sendNack(const endpoint &To, std::uint32_t Nonce,
                                member_key Subject, instant Now) {
  Disseminator.send(To, probeMessage(message_kind::Nack, Nonce, Subject),
                    message_priority::Probe, Now);
}

void failure_detector::checkSuspects(instant Now) {
  NextSuspectCheck =
      Suspects.empty() ? instant::max() : Now + SuspectCheckInterval;
  const std::vector<member_key> Checked(Suspects.begin(), Suspects.end());
  for (const member_key Key : Checked) {
    const member_entry *Entry = Table.find(Key);
    if (!Entry) {
      Suspects.erase(Key);
      continue;
    }
    if (Now < suspicionEnd(*Entry))
      continue;
    const bool HeldTooLong = Now - Entry->SuspectSince > Settings.DeadRetention;
    if (majorityUnreachable(Now) && !HeldTooLong)
      continue;
    Disseminator.accuse(
        Key, {Entry->Claim.Accused.Incarnation, accusation_level::Dead}, Now);
  }
}

instant failure_detector::suspicionEnd(const member_entry &Entry) const {
  // An unhealthy local node waits longer, so that it probes enough other
  // members before it declares one dead.
  return Entry.SuspectSince +
         Health.scale(suspicionTimeout(Settings, Table.liveCount(),
                                       Entry.Accusers.size()));
}

bool failure_detector::majorityUnreachable(instant Now) {
  std::erase_if(RecentDeaths, [&](const auto &Death) {
    return Now - Death.second > RecentDeathWindow;
  });
  const std::size_t Unreachable = Suspects.size() + RecentDeaths.size();
  return 2 * Unreachable > Table.liveCount() + RecentDeaths.size();
}

} // namespace clementine
