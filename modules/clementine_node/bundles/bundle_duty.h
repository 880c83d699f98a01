#ifndef CLEMENTINE_NODE_BUNDLES_BUNDLE_DUTY_H
#define CLEMENTINE_NODE_BUNDLES_BUNDLE_DUTY_H

#include "clementine_bundle/clementine_bundle.h"
#include "clementine_core/clementine_core.h"
#include "clementine_wire/clementine_wire.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace clementine {

/// The first identifier of the links that a bundle_duty dials.
constexpr link_id FirstBundleLink = 1ULL << 62U;

/// A bundle that a peer holds, as gossip tells it.
struct bundle_offer {
  std::uint64_t Version = 0;
  endpoint Peer;

  bool operator==(const bundle_offer &) const = default;
};

/// Keeps the newest accepted bundle: fetches what peers or the platform hold
/// and serves peers that hold less. Runs on a thread of its own, since reading
/// a large bundle takes longer than a request may wait.
class bundle_duty final : public supervised {
public:
  /// Called on the duty's thread whenever a higher version is held.
  using held_listener =
      std::function<void(std::shared_ptr<const signed_bundle> Held)>;
  /// Called on the duty's thread for what was refused.
  using refusal_listener = std::function<void(const update_refusal &Refusal)>;

  bundle_duty(trusted_owners Owners, peer_port &Peers, const clock &Clock,
              held_listener OnHeld, refusal_listener OnRefusal);
  ~bundle_duty() override;

  bundle_duty(const bundle_duty &) = delete;
  bundle_duty &operator=(const bundle_duty &) = delete;

  const std::string &name() const override { return Task.name(); }
  void start() override { Task.start(); }
  void stop() override;

  /// @name From any thread; a full ring drops them, since all come again
  void peerOffers(bundle_offer Offer);
  void platformHolds(bundle_update Update);
  void peerFetches(link_id Link, const bundle_fetch &Fetch);
  void transferArrived(link_id Link, bundle_transfer Transfer);
  void linkUp(link_id Link);
  void linkDown(link_id Link);

  /// @returns what is held now; null for nothing.
  std::shared_ptr<const signed_bundle> held() const;

private:
  struct fetch_event {
    link_id Link = NoLink;
    bundle_fetch Fetch;
  };
  struct transfer_event {
    link_id Link = NoLink;
    bundle_transfer Transfer;
  };
  struct up_event {
    link_id Link = NoLink;
  };
  struct down_event {
    link_id Link = NoLink;
  };
  using event = std::variant<bundle_offer, bundle_update, fetch_event,
                             transfer_event, up_event, down_event>;

  /// A fetch from one peer.
  struct open_fetch {
    link_id Link = NoLink;
    bundle_offer Offer;
    instant GiveUpAt;
  };

  void run(const std::atomic<bool> &Stopping);
  void execute(const bundle_offer &Offer);
  void execute(const bundle_update &Update);
  void execute(const fetch_event &Event);
  void execute(const transfer_event &Event);
  void execute(const up_event &Event);
  void execute(const down_event &Event);
  void fetchWanted();
  void endFetch();
  std::uint64_t heldVersion() const;

  peer_port &Peers;
  const clock &Clock;
  const held_listener OnHeld;
  const refusal_listener OnRefusal;
  bundle_replica Replica;
  bounded_ring<event> Events;
  std::optional<bundle_offer> Wanted;
  std::optional<open_fetch> Fetch;
  instant NextFetch{};
  link_id NextLink = FirstBundleLink;
  mutable std::mutex HeldMutex;
  std::shared_ptr<const signed_bundle> Held;
  supervised_task Task;
};

} // namespace clementine

#endif
