#include "clementine_request/ledger/run_ledger.h"

#include <algorithm>
#include <cassert>

namespace clementine {

namespace {

std::size_t sizeOf(const run_answer &Answer) {
  std::size_t Size = sizeof(run_answer) + Answer.Answer.Body.size();
  for (const header_field &Header : Answer.Answer.Headers)
    Size += Header.Name.size() + Header.Value.size();
  return Size;
}

} // namespace

run_ledger::run_ledger(run_ledger_settings Settings)
    : Settings(Settings), PastKeys(Settings.PastKeyRetention) {}

begin_verdict run_ledger::begin(const request_id &Run, const std::string &Key,
                                std::uint64_t Claim) {
  if (Attempts.contains(Run))
    return verdictOfKnown(Run);
  if (!Key.empty())
    return beginKeyed(Run, Key, Claim);
  Attempts[Run].Key = Key;
  return begin_verdict::Run;
}

begin_verdict run_ledger::beginKeyed(const request_id &Run,
                                     const std::string &Key,
                                     std::uint64_t Claim) {
  if (PastKeys.contains(Key))
    return begin_verdict::Expired;
  const auto Known = Keyed.find(Key);
  if (Known == Keyed.end() && isFull())
    return begin_verdict::Full;
  if (Known != Keyed.end()) {
    if (Known->second.Run != request_id{})
      return verdictOfKnown(Known->second.Run);
    if (Claim <= Known->second.FencedClaim)
      return begin_verdict::Fenced;
  }
  Keyed[Key].Run = Run;
  Attempts[Run].Key = Key;
  return begin_verdict::Run;
}

begin_verdict run_ledger::verdictOfKnown(const request_id &Run) const {
  const auto Found = Attempts.find(holderOf(Run));
  assert(Found != Attempts.end() &&
         "the attempt of a keyed run must be kept as long as the run");
  switch (Found->second.State) {
  case run_state::Running:
    return begin_verdict::Join;
  case run_state::Ended:
    return begin_verdict::Ended;
  case run_state::Fenced:
    break;
  }
  return begin_verdict::Fenced;
}

void run_ledger::end(const request_id &Run, const run_answer &Answer) {
  const auto Found = Attempts.find(Run);
  assert(Found != Attempts.end() && "only an attempt that has started can end");
  attempt &Attempt = Found->second;
  assert(Attempt.State == run_state::Running && "an attempt ends once");
  Attempt.State = run_state::Ended;
  Attempt.Answer = Answer;
  AnswerBytes += sizeOf(Answer);
  if (Answer.Outcome == run_outcome::NotRun && !Attempt.Key.empty())
    releaseKey(Attempt);
  if (Attempt.Key.empty())
    AttemptExpiries.push_back({LedgerTime + Settings.AttemptRetention, Run});
  else
    scheduleKeyExpiry(Attempt.Key, Keyed.at(Attempt.Key));
}

void run_ledger::releaseKey(attempt &Attempt) {
  const auto Found = Keyed.find(Attempt.Key);
  Found->second.Run = {};
  if (Found->second.FencedClaim == 0)
    Keyed.erase(Found);
  else
    scheduleKeyExpiry(Attempt.Key, Found->second);
  Attempt.Key.clear();
}

bool run_ledger::fence(const request_id &Run) {
  if (Attempts.contains(Run))
    return false;
  Attempts[Run].State = run_state::Fenced;
  AttemptExpiries.push_back({LedgerTime + Settings.AttemptRetention, Run});
  return true;
}

bool run_ledger::fenceClaim(const std::string &Key, std::uint64_t Claim) {
  if (PastKeys.contains(Key))
    return false;
  const auto Known = Keyed.find(Key);
  if (Known != Keyed.end()) {
    if (Known->second.Run != request_id{})
      return false;
    Known->second.FencedClaim = std::max(Known->second.FencedClaim, Claim);
    return true;
  }
  if (isFull())
    return false;
  keyed_run &Fence = Keyed[Key];
  Fence.FencedClaim = Claim;
  scheduleKeyExpiry(Key, Fence);
  return true;
}

const request_id *run_ledger::runOfKey(const std::string &Key) const {
  const auto Found = Keyed.find(Key);
  if (Found == Keyed.end() || Found->second.Run == request_id{})
    return nullptr;
  return &Found->second.Run;
}

const run_answer *run_ledger::answer(const request_id &Run) const {
  const auto Found = Attempts.find(holderOf(Run));
  if (Found == Attempts.end() || Found->second.State != run_state::Ended)
    return nullptr;
  return &Found->second.Answer;
}

bool run_ledger::isRunning(const request_id &Run) const {
  const auto Found = Attempts.find(holderOf(Run));
  return Found != Attempts.end() && Found->second.State == run_state::Running;
}

void run_ledger::join(const request_id &Run, const request_id &Holder) {
  if (Run == Holder || Attempts.contains(Run))
    return;
  Attempts[Run].JoinedTo = Holder;
  AttemptExpiries.push_back({LedgerTime + Settings.AttemptRetention, Run});
}

request_id run_ledger::holderOf(const request_id &Run) const {
  const auto Found = Attempts.find(Run);
  const bool HasJoined =
      Found != Attempts.end() && Found->second.JoinedTo != request_id{};
  return HasJoined ? Found->second.JoinedTo : Run;
}

void run_ledger::advanceTime(instant Now) {
  const duration Passed = Now - LastAdvance;
  LastAdvance = Now;
  LedgerTime += std::clamp(Passed, duration::zero(), Settings.MaxTimeStep);
  while (!AttemptExpiries.empty() && AttemptExpiries.front().At <= LedgerTime) {
    eraseAttempt(AttemptExpiries.front().Run);
    AttemptExpiries.pop_front();
  }
  while (!KeyExpiries.empty() && KeyExpiries.front().At <= LedgerTime) {
    const std::string Key = std::move(KeyExpiries.front().Key);
    KeyExpiries.pop_front();
    expireKey(Key);
  }
  PastKeys.expire(LedgerTime);
}

void run_ledger::scheduleKeyExpiry(const std::string &Key, keyed_run &Run) {
  Run.RetainUntil = LedgerTime + Settings.KeyedRunRetention;
  KeyExpiries.push_back({Run.RetainUntil, Key});
}

void run_ledger::expireKey(const std::string &Key) {
  const auto Found = Keyed.find(Key);
  // A run may have replaced the fence for which this expiry was scheduled.
  if (Found == Keyed.end() || Found->second.RetainUntil > LedgerTime)
    return;
  if (Found->second.Run != request_id{}) {
    if (isRunning(Found->second.Run))
      return;
    eraseAttempt(Found->second.Run);
  }
  PastKeys.add(Key, LedgerTime);
  Keyed.erase(Found);
}

bool run_ledger::isFull() const {
  return Keyed.size() >= Settings.MaxKeyedRuns ||
         AnswerBytes >= Settings.MaxAnswerBytes ||
         PastKeys.size() + Keyed.size() >= Settings.MaxPastKeys;
}

void run_ledger::eraseAttempt(const request_id &Run) {
  const auto Found = Attempts.find(Run);
  if (Found == Attempts.end())
    return;
  if (Found->second.State == run_state::Ended)
    AnswerBytes -= sizeOf(Found->second.Answer);
  Attempts.erase(Found);
}

} // namespace clementine
