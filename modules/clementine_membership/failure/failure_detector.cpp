#include "clementine_membership/failure/failure_detector.h"

#include "clementine_membership/failure/suspicion.h"

#include <algorithm>
#include <utility>

namespace clementine {

namespace {

/// The most probes at a time on behalf of others.
constexpr std::size_t MostHelped = 64;
/// The share of the probe timeout after which a helper reports failure.
constexpr double NackShare = 0.8;
/// How often suspicions are checked for their end.
constexpr duration SuspectCheckInterval = std::chrono::milliseconds(250);
/// Deaths within this span count as silent when a majority is sought.
constexpr duration RecentDeathSpan = std::chrono::seconds(60);

duration share(duration Whole, double Share) {
  return std::chrono::duration_cast<duration>(Whole * Share);
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
                                   disseminator &Spread)
    : Settings(Settings), Random(Random), Table(Table), Spread(Spread),
      NextNonce(static_cast<std::uint32_t>(Random.next())) {}

void failure_detector::receive(const endpoint &From,
                               const gossip_message &Message, instant Now) {
  if (Message.Kind == message_kind::Probe)
    answerProbe(From, Message, Now);
  if (Message.Kind == message_kind::Ack)
    takeAck(Message, Now);
  if (Message.Kind == message_kind::ProbeRequest)
    help(From, Message, Now);
  if (Message.Kind != message_kind::Nack || !Probe)
    return;
  if (Message.Nonce == Probe->Nonce && Message.Subject == Probe->Target)
    ++Probe->Nacks;
}

void failure_detector::changed(member_key Key, const merge_outcome &Outcome,
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

void failure_detector::resumed(instant Now) {
  Probe.reset();
  Helped.clear();
  for (const member_key Key : Suspects)
    Table.restartSuspicion(Key, Now);
  Health.worsen(1);
  NextProbe = Now;
}

void failure_detector::reconnect(const member_entry &Entry, instant Now) {
  sendProbe(Entry, ++NextNonce, true, Now);
}

void failure_detector::tick(instant Now) {
  if (Probe && !Probe->HelpAsked && Now >= Probe->HelpAt)
    askHelpers(Now);
  if (Probe && Now >= Probe->EndsAt)
    endProbe(Now);
  if (Now >= NextProbe)
    startProbe(Now);
  tickHelped(Now);
  if (Now >= NextSuspectCheck)
    tickSuspects(Now);
}

instant failure_detector::nextWake() const {
  instant Wake = std::min(NextProbe, NextSuspectCheck);
  if (Probe)
    Wake = std::min(Wake, Probe->HelpAsked ? Probe->EndsAt : Probe->HelpAt);
  for (const helped_probe &Each : Helped)
    Wake = std::min(Wake, Each.NackSent ? Each.EndsAt : Each.NackAt);
  return Wake;
}

void failure_detector::startProbe(instant Now) {
  if (Probe)
    endProbe(Now);
  const duration Interval = Health.stretch(Settings.ProbeInterval);
  NextProbe = Now + Interval;
  const member_entry *Target = nextTarget();
  if (!Target)
    return;
  open_probe Opened;
  Opened.Target = Target->Key;
  Opened.Nonce = ++NextNonce;
  Opened.HelpAt = Now + Health.stretch(Settings.ProbeTimeout);
  Opened.EndsAt = NextProbe;
  Probe = Opened;
  sendProbe(*Target, Opened.Nonce, false, Now);
}

const member_entry *failure_detector::nextTarget() {
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    while (!Round.empty()) {
      const member_entry *Entry = Table.find(Round.back());
      Round.pop_back();
      if (Entry && Entry->PeerIndex)
        return Entry;
    }
    // Each round goes through all peers in a new random order.
    Round = Table.peers();
    for (std::size_t Left = Round.size(); Left > 1; --Left)
      std::swap(Round[Left - 1], Round[Random.below(Left)]);
  }
  return nullptr;
}

void failure_detector::sendProbe(const member_entry &Target,
                                 std::uint32_t Nonce, bool WithSelf,
                                 instant Now) {
  gossip_message Message = probeMessage(message_kind::Probe, Nonce, Target.Key);
  // It should hear of the accusation from the first message that gets through.
  if (Target.Claim.isAccused())
    Message.Updates.push_back(disseminator::accusationOf(Target));
  if (WithSelf)
    Message.Claims.push_back(Table.self().Claim);
  Spread.send(Target.Claim.Record.Gossip, std::move(Message), urgency::Probe,
              Now);
}

void failure_detector::askHelpers(instant Now) {
  Probe->HelpAsked = true;
  // One more than needed, since the target itself may be among them.
  const auto Candidates = Spread.randomPeers(Settings.IndirectProbes + 1);
  for (const member_entry *Helper : Candidates) {
    if (Helper->Key == Probe->Target ||
        Probe->Helpers == Settings.IndirectProbes)
      continue;
    ++Probe->Helpers;
    Spread.send(
        Helper->Claim.Record.Gossip,
        probeMessage(message_kind::ProbeRequest, Probe->Nonce, Probe->Target),
        urgency::Probe, Now);
  }
}

void failure_detector::endProbe(instant Now) {
  const open_probe Failed = *Probe;
  Probe.reset();
  // Helpers that are heard of show that the fault is not on this side.
  const bool Unheard = Failed.Nacks < Failed.Helpers;
  if (Unheard || Failed.Helpers == 0)
    Health.worsen(1);
  const member_entry *Entry = Table.find(Failed.Target);
  if (!Entry || !Entry->PeerIndex)
    return;
  const std::uint64_t Incarnation =
      std::max(Entry->Claim.Record.Identity.Incarnation,
               Entry->Claim.Accused.Incarnation);
  Spread.accuse(Failed.Target, {Incarnation, accusation_level::Suspect}, Now);
}

void failure_detector::answerProbe(const endpoint &From,
                                   const gossip_message &Message, instant Now) {
  gossip_message Reply =
      probeMessage(message_kind::Ack, Message.Nonce, Table.self().Key);
  const member_entry *Sender = Table.find(Message.Sender);
  if (!Sender ||
      Message.Incarnation > Sender->Claim.Record.Identity.Incarnation)
    Reply.Wanted.push_back(Message.Sender);
  else if (Sender->Claim.isAccused())
    Reply.Updates.push_back(disseminator::accusationOf(*Sender));
  if (!Sender || Sender->Claim.state() == member_state::Dead)
    Reply.Claims.push_back(Table.self().Claim);
  Spread.send(From, std::move(Reply), urgency::Probe, Now);
}

void failure_detector::takeAck(const gossip_message &Message, instant Now) {
  if (Probe && Message.Nonce == Probe->Nonce &&
      Message.Subject == Probe->Target) {
    Probe.reset();
    Health.improve();
    return;
  }
  const auto Found =
      std::find_if(Helped.begin(), Helped.end(), [&](const auto &Each) {
        return Each.Nonce == Message.Nonce && Each.Target == Message.Sender;
      });
  if (Found == Helped.end())
    return;
  Spread.send(
      Found->Origin,
      probeMessage(message_kind::Ack, Found->OriginNonce, Found->Target),
      urgency::Probe, Now);
  Helped.erase(Found);
}

void failure_detector::help(const endpoint &From, const gossip_message &Message,
                            instant Now) {
  const member_entry *Target = Table.find(Message.Subject);
  if (!Target || Helped.size() >= MostHelped) {
    sendNack(From, Message.Nonce, Message.Subject, Now);
    return;
  }
  helped_probe Opened;
  Opened.Nonce = ++NextNonce;
  Opened.Target = Message.Subject;
  Opened.Origin = From;
  Opened.OriginNonce = Message.Nonce;
  Opened.NackAt = Now + share(Settings.ProbeTimeout, NackShare);
  Opened.EndsAt = Now + Settings.ProbeInterval;
  Helped.push_back(Opened);
  sendProbe(*Target, Opened.Nonce, false, Now);
}

void failure_detector::tickHelped(instant Now) {
  for (helped_probe &Each : Helped) {
    if (Each.NackSent || Now < Each.NackAt)
      continue;
    Each.NackSent = true;
    sendNack(Each.Origin, Each.OriginNonce, Each.Target, Now);
  }
  std::erase_if(Helped,
                [&](const helped_probe &Each) { return Now >= Each.EndsAt; });
}

void failure_detector::sendNack(const endpoint &To, std::uint32_t Nonce,
                                member_key Subject, instant Now) {
  Spread.send(To, probeMessage(message_kind::Nack, Nonce, Subject),
              urgency::Probe, Now);
}

void failure_detector::tickSuspects(instant Now) {
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
    const bool HeldLong = Now - Entry->SuspectSince > Settings.KeepDead;
    if (mostAreSilent(Now) && !HeldLong)
      continue;
    Spread.accuse(
        Key, {Entry->Claim.Accused.Incarnation, accusation_level::Dead}, Now);
  }
}

instant failure_detector::suspicionEnd(const member_entry &Entry) const {
  // A node that hears little has to probe enough others before it judges.
  return Entry.SuspectSince +
         Health.stretch(suspicionTimeout(Settings, Table.liveCount(),
                                         Entry.Accusers.size()));
}

bool failure_detector::mostAreSilent(instant Now) {
  std::erase_if(RecentDeaths, [&](const auto &Death) {
    return Now - Death.second > RecentDeathSpan;
  });
  const std::size_t Silent = Suspects.size() + RecentDeaths.size();
  return 2 * Silent > Table.liveCount() + RecentDeaths.size();
}

} // namespace clementine
