#include <doctest/doctest.h>

#include "clementine_admission/clementine_admission.h"

using namespace clementine;
using namespace std::chrono_literals;

namespace {

constexpr instant Start{100s};

admission_ticket ticket(std::uint64_t Id, importance Importance,
                        std::uint64_t Hash = 0) {
  return {{0, Id}, Importance, Hash, 0, Start + 10s};
}

admission_gate gateWith(std::size_t Limit, std::size_t QueueLength) {
  admission_gate_settings Settings;
  Settings.QueuedPerSlot = 0;
  Settings.MinimumQueueLength = QueueLength;
  return {Settings, std::make_unique<static_limiter>(Limit)};
}

constexpr work_result Completed{work_outcome::Completed, duration(0)};

} // namespace

TEST_CASE("a more important ticket displaces a queued one, which is reported "
          "as not run") {
  admission_gate Gate = gateWith(1, 1);
  CHECK(Gate.offer(ticket(1, importance::Low), Start).Verdict ==
        offer_verdict::Admitted);
  CHECK(Gate.offer(ticket(2, importance::Low), Start).Verdict ==
        offer_verdict::Queued);
  const auto MoreImportant = Gate.offer(ticket(3, importance::Critical), Start);
  CHECK(MoreImportant.Verdict == offer_verdict::Queued);
  REQUIRE(MoreImportant.Others.Refused.size() == 1);
  CHECK(MoreImportant.Others.Refused[0] ==
        refused_ticket{ticket(2, importance::Low), refusal_reason::Displaced});
  const auto Next = Gate.complete({0, 1}, Completed, Start + 5ms);
  CHECK(Next.Started ==
        std::vector<admission_ticket>{ticket(3, importance::Critical)});
}

TEST_CASE("after a refusal no less important ticket is admitted until a slot "
          "is free") {
  admission_gate Gate = gateWith(1, 1);
  Gate.offer(ticket(1, importance::High), Start);
  Gate.offer(ticket(2, importance::High, 1), Start);
  CHECK(Gate.offer(ticket(3, importance::High, 2), Start).Reason ==
        refusal_reason::QueueFull);
  Gate.complete({0, 1}, Completed, Start + 1ms);
  CHECK(Gate.queued() == 0);
  const auto LessImportant =
      Gate.offer(ticket(4, importance::Low), Start + 2ms);
  CHECK(LessImportant.Verdict == offer_verdict::Refused);
  CHECK(LessImportant.Reason == refusal_reason::BelowLevel);
  CHECK(Gate.offer(ticket(5, importance::High, 2), Start + 2ms).Verdict ==
        offer_verdict::Queued);
  Gate.cancel({0, 5});
  Gate.complete({0, 2}, Completed, Start + 3ms);
  CHECK(Gate.offer(ticket(6, importance::Low), Start + 4ms).Verdict ==
        offer_verdict::Admitted);
}

TEST_CASE("a refusal while starts are limited does not keep less important "
          "tickets out once nothing runs or waits") {
  admission_gate Gate = gateWith(4, 1);
  Gate.limitStarts(1.0, Start);
  Gate.offer(ticket(1, importance::High), Start);
  Gate.offer(ticket(2, importance::High), Start);
  CHECK(Gate.offer(ticket(3, importance::High, 1), Start).Verdict ==
        offer_verdict::Refused);
  Gate.complete({0, 1}, Completed, Start + 1ms);
  const auto Due = Gate.nextWake();
  REQUIRE(Due);
  CHECK(*Due - Start == 1s);
  CHECK(Gate.expire(*Due).Started.size() == 1);
  Gate.complete({0, 2}, Completed, *Due + 1ms);
  CHECK(Gate.offer(ticket(4, importance::Low), *Due + 2s).Verdict ==
        offer_verdict::Admitted);
}

TEST_CASE(
    "a ticket that cannot meet its deadline is refused, at once or on expiry") {
  admission_gate Gate = gateWith(1, 4);
  Gate.offer(ticket(1, importance::Normal), Start);
  Gate.complete({0, 1}, Completed, Start + 100ms);
  const instant Now = Start + 100ms;
  Gate.offer(ticket(2, importance::Normal), Now);
  admission_ticket Late = ticket(3, importance::Critical);
  Late.Deadline = Now + 99ms;
  CHECK(Gate.offer(Late, Now).Reason == refusal_reason::DeadlineTooClose);
  Late.Deadline = Now + 150ms;
  CHECK(Gate.offer(Late, Now).Verdict == offer_verdict::Queued);
  REQUIRE(Gate.nextWake().has_value());
  CHECK(Gate.expire(*Gate.nextWake() - 1ns).Refused.empty());
  CHECK(Gate.expire(*Gate.nextWake()).Refused ==
        std::vector<refused_ticket>{{Late, refusal_reason::DeadlineTooClose}});
  CHECK_FALSE(Gate.nextWake().has_value());
}

TEST_CASE("a drained gate refuses queued tickets and all later offers") {
  admission_gate Gate = gateWith(1, 4);
  Gate.offer(ticket(1, importance::Low), Start);
  Gate.offer(ticket(2, importance::Low), Start);
  CHECK(Gate.drain(Start).Refused ==
        std::vector<refused_ticket>{
            {ticket(2, importance::Low), refusal_reason::Draining}});
  CHECK(Gate.offer(ticket(3, importance::Critical), Start).Reason ==
        refusal_reason::Draining);
  CHECK(Gate.running() == 1);
}

TEST_CASE("a ticket cannot be offered twice, and cancel reports its state") {
  admission_gate Gate = gateWith(1, 4);
  Gate.offer(ticket(1, importance::Low), Start);
  CHECK(Gate.offer(ticket(1, importance::Low), Start).Reason ==
        refusal_reason::AlreadyPresent);
  Gate.offer(ticket(2, importance::Low), Start);
  CHECK(Gate.cancel({0, 2}) == cancel_result::Removed);
  CHECK(Gate.cancel({0, 2}) == cancel_result::Unknown);
  CHECK(Gate.cancel({0, 1}) == cancel_result::Running);
}

TEST_CASE("completed work improves the rank within the same importance") {
  const std::uint64_t Hash = 1ULL << 63U;
  CHECK(rankOf(importance::Low, Hash, 1) < rankOf(importance::Low, Hash, 0));
  CHECK(rankOf(importance::High, Hash, 0) < rankOf(importance::Low, Hash, 9));
  for (std::size_t Index = 0; Index < ImportanceLevels * SubLevels; ++Index)
    CHECK(admission_level::fromIndex(Index).index() == Index);
}
