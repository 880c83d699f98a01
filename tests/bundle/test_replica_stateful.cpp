#include <doctest/doctest.h>

#include "sample_bundles.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <memory>

using namespace clementine;
using namespace clementine::samples;

namespace {

constexpr std::size_t Replicas = 4;
constexpr std::size_t Callers = 5;

/// An empty model: which commands are allowed does not depend on earlier ones.
struct stateless_model {};

/// Several replicas, every message sent so far, and the accepted content of
/// each version as the oracle.
class replication_system {
public:
  replication_system() {
    Accepted.emplace_back();
    for (auto &Replica : Members)
      Replica = std::make_unique<bundle_replica>(trustOnly(Owner));
    accept(0, 1);
  }

  /// Accepts the next version, in which one caller has another rate.
  void accept(std::size_t Caller, unsigned Rate) {
    std::string Text = sampleBundleText(Callers, 200);
    const std::string Name = "[caller caller-" + std::to_string(Caller) + "]\n";
    // Some versions remove the caller instead.
    const auto Begin = Text.find(Name);
    if (Rate % 3 == 0)
      Text.erase(Begin, Text.find("\n\n", Begin) + 2 - Begin);
    else
      Text.replace(Text.find("200/s", Begin), 5, std::to_string(Rate) + "/s");
    Accepted.push_back(bundle::parse(Text).value());
  }

  /// A member receives the newest version from the platform.
  void receiveNewest(std::size_t Member) {
    const std::uint64_t Newest = Accepted.size() - 1;
    const std::uint64_t Have = Members[Member]->summary().Version;
    bundle_update Update{headOf(*Accepted[Newest], Newest, Owner), Have, {}};
    Update.Delta = deltaBetween(Accepted[Have], *Accepted[Newest]);
    send(Update);
    deliver(Member, Sent.back());
  }

  /// A member answers another one's request. The answer is only queued, and may
  /// never be delivered.
  void requestUpdate(std::size_t Requester, std::size_t Responder) {
    auto Answer =
        Members[Responder]->answer(Members[Requester]->summary().Version);
    if (Answer)
      send(Answer.value());
  }

  /// Delivers any earlier message: delayed, duplicated or out of order.
  void deliverEarlier(std::size_t Member, std::size_t Number) {
    if (!Sent.empty())
      deliver(Member, Sent[Number % Sent.size()]);
  }

  /// Delivers an earlier message with one byte changed, and optionally
  /// truncated.
  void deliverDamaged(std::size_t Member, std::size_t Number,
                      std::size_t Position, bool Truncate) {
    if (Sent.empty())
      return;
    std::string Bytes = Sent[Number % Sent.size()];
    Bytes[Position % Bytes.size()] = static_cast<char>(Position);
    if (Truncate)
      Bytes.resize(Position % Bytes.size());
    deliver(Member, Bytes);
  }

  /// Delivers a forged update, made without a trusted owner's key.
  void deliverForged(std::size_t Member, std::size_t Number, unsigned Kind) {
    const std::uint64_t Version = Accepted.size() + Number;
    const bundle Other = sampleBundle(Callers, 9'999);
    bundle_update Forged = fullUpdate(Other, Version, OtherKey);
    if (Kind % 3 == 1) {
      // The newest signed head with a higher version.
      Forged = fullUpdate(*Accepted.back(), Accepted.size() - 1, Owner);
      Forged.Head.Version = Version;
    }
    if (Kind % 3 == 2) {
      // The newest signed head with other content.
      Forged = fullUpdate(*Accepted.back(), Accepted.size() - 1, Owner);
      Forged.Delta = deltaBetween(std::nullopt, Other);
    }
    deliver(Member, encodeUpdate(Forged));
  }

  /// Without faults, each member gets an update from one that holds the newest
  /// version.
  void checkConvergence() {
    receiveNewest(0);
    for (std::size_t Member = 1; Member < Replicas; ++Member) {
      const auto Answer =
          Members[0]->answer(Members[Member]->summary().Version);
      if (Answer)
        deliver(Member, encodeUpdate(Answer.value()));
      RC_ASSERT(Members[Member]->summary().Version == Accepted.size() - 1);
    }
  }

private:
  void send(const bundle_update &Update) {
    Sent.push_back(encodeUpdate(Update));
  }

  void deliver(std::size_t Member, const std::string &Bytes) {
    bundle_replica &Replica = *Members[Member];
    const std::uint64_t Before = Replica.summary().Version;
    const auto Update = decodeUpdate(Bytes);
    if (Update)
      static_cast<void>(Replica.applyUpdate(Update.value()));
    const std::uint64_t After = Replica.summary().Version;
    RC_ASSERT(After >= Before);
    RC_ASSERT(After < Accepted.size());
    if (After != NoVersion)
      RC_ASSERT(Replica.held()->Content.text() == Accepted[After]->text());
  }

  const owner_key Owner = keyOf("night-desk", '1');
  const owner_key OtherKey = keyOf("night-desk", '2');
  std::array<std::unique_ptr<bundle_replica>, Replicas> Members;
  std::vector<std::optional<bundle>> Accepted;
  std::vector<std::string> Sent;
};

using step = rc::state::Command<stateless_model, replication_system>;

struct accept_version : step {
  std::size_t Caller = *rc::gen::inRange<std::size_t>(0, Callers);
  unsigned Rate = *rc::gen::inRange(1U, 1'000U);
  void run(const stateless_model &, replication_system &System) const override {
    System.accept(Caller, Rate);
  }
};

struct receive_newest : step {
  std::size_t Member = *rc::gen::inRange<std::size_t>(0, Replicas);
  void run(const stateless_model &, replication_system &System) const override {
    System.receiveNewest(Member);
  }
};

struct request_update : step {
  std::size_t Requester = *rc::gen::inRange<std::size_t>(0, Replicas);
  std::size_t Responder = *rc::gen::inRange<std::size_t>(0, Replicas);
  void run(const stateless_model &, replication_system &System) const override {
    System.requestUpdate(Requester, Responder);
  }
};

struct deliver_message : step {
  std::size_t Member = *rc::gen::inRange<std::size_t>(0, Replicas);
  std::size_t Number = *rc::gen::inRange<std::size_t>(0, 1'000);
  void run(const stateless_model &, replication_system &System) const override {
    System.deliverEarlier(Member, Number);
  }
};

struct deliver_damaged : step {
  std::size_t Member = *rc::gen::inRange<std::size_t>(0, Replicas);
  std::size_t Number = *rc::gen::inRange<std::size_t>(0, 1'000);
  std::size_t Position = *rc::gen::inRange<std::size_t>(0, 2'000);
  bool Truncate = *rc::gen::arbitrary<bool>();
  void run(const stateless_model &, replication_system &System) const override {
    System.deliverDamaged(Member, Number, Position, Truncate);
  }
};

struct deliver_forged : step {
  std::size_t Member = *rc::gen::inRange<std::size_t>(0, Replicas);
  std::size_t Number = *rc::gen::inRange<std::size_t>(0, 3);
  unsigned Kind = *rc::gen::inRange(0U, 3U);
  void run(const stateless_model &, replication_system &System) const override {
    System.deliverForged(Member, Number, Kind);
  }
};

struct check_convergence : step {
  void run(const stateless_model &, replication_system &System) const override {
    System.checkConvergence();
  }
};

} // namespace

TEST_CASE(
    "replicas only move forward, to accepted contents, under any messages") {
  CHECK(rc::check("replication of bundles", [] {
    replication_system System;
    rc::state::check(
        stateless_model{}, System,
        rc::state::gen::execOneOfWithArgs<
            accept_version, receive_newest, request_update, deliver_message,
            deliver_damaged, deliver_forged, check_convergence>());
  }));
}
