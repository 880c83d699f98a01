#include "clementine_security/replay/replay_window.h"

#include <cassert>

namespace clementine {

replay_window::replay_window(std::size_t MaxSenders) : MaxSenders(MaxSenders) {
  assert(MaxSenders > 0 && "a replay window must track at least one sender");
}

replay_verdict replay_window::accept(std::uint64_t Sender, std::uint64_t Epoch,
                                     std::uint64_t Sequence) {
  const auto Found = Senders.find(Sender);
  if (Found == Senders.end()) {
    addSender({Sender, Epoch, Sequence, 1});
    return replay_verdict::Fresh;
  }
  sender_state &State = *Found->second;
  if (Epoch < State.Epoch)
    return replay_verdict::OldEpoch;
  ByRecency.splice(ByRecency.begin(), ByRecency, Found->second);
  if (Epoch == State.Epoch)
    return advance(State, Sequence);
  State = {Sender, Epoch, Sequence, 1};
  return replay_verdict::Fresh;
}

std::optional<std::uint64_t>
replay_window::epochOf(std::uint64_t Sender) const {
  const auto Found = Senders.find(Sender);
  if (Found == Senders.end())
    return std::nullopt;
  return Found->second->Epoch;
}

replay_verdict replay_window::advance(sender_state &State,
                                      std::uint64_t Sequence) {
  if (Sequence > State.Highest) {
    const std::uint64_t Step = Sequence - State.Highest;
    State.Seen = Step >= WindowWidth ? 1 : (State.Seen << Step) | 1;
    State.Highest = Sequence;
    return replay_verdict::Fresh;
  }
  const std::uint64_t Lag = State.Highest - Sequence;
  if (Lag >= WindowWidth)
    return replay_verdict::Replayed;
  const std::uint64_t Bit = std::uint64_t{1} << Lag;
  if ((State.Seen & Bit) != 0)
    return replay_verdict::Replayed;
  State.Seen |= Bit;
  return replay_verdict::Fresh;
}

void replay_window::addSender(const sender_state &State) {
  if (Senders.size() == MaxSenders) {
    Senders.erase(ByRecency.back().Sender);
    ByRecency.pop_back();
  }
  ByRecency.push_front(State);
  Senders.emplace(State.Sender, ByRecency.begin());
}

} // namespace clementine
