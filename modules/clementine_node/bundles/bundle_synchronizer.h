#ifndef CLEMENTINE_NODE_BUNDLES_BUNDLE_SYNCHRONIZER_H
#define CLEMENTINE_NODE_BUNDLES_BUNDLE_SYNCHRONIZER_H

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

/// The first identifier of the links that a bundle_synchronizer opens.
constexpr link_id FirstBundleLink = 1ULL << 62U;

/// A bundle that a peer holds, as reported by gossip.
struct bundle_offer {
  std::uint64_t Version = 0;
  endpoint Peer;

  bool operator==(const bundle_offer &) const = default;
};

/// Keeps the newest accepted bundle: fetches what peers or the platform hold
/// and serves peers with an older version. Runs on a thread of its own, since
/// reading a large bundle takes longer than a request may wait.
class bundle_synchronizer final : public supervised {
public:
  /// Called on the task's thread when a higher version was accepted.
  using bundle_listener =
      std::function<void(std::shared_ptr<const signed_bundle> NewBundle)>;
  /// Called on the task's thread for each refused update.
  using refusal_listener = std::function<void(const update_refusal &Refusal)>;

  bundle_synchronizer(trusted_owners Owners, peer_port &Peers,
                      const clock &Clock, bundle_listener OnBundle,
                      refusal_listener OnRefusal);
  ~bundle_synchronizer() override;

  bundle_synchronizer(const bundle_synchronizer &) = delete;
  bundle_synchronizer &operator=(const bundle_synchronizer &) = delete;

  const std::string &name() const override { return Task.name(); }
  void start() override { Task.start(); }
  void stop() override;

  /// @name From any thread. A full ring drops events, as all are sent again
  void offerArrived(bundle_offer Offer);
  void updateArrived(bundle_update Update);
  void fetchArrived(link_id Link, const bundle_fetch &Fetch);
  void transferArrived(link_id Link, bundle_transfer Transfer);
  void linkUp(link_id Link);
  void linkDown(link_id Link);

  /// @returns the newest accepted bundle; null if there is none.
  std::shared_ptr<const signed_bundle> currentBundle() const;

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
    instant Deadline;
  };

  void run(const std::atomic<bool> &Stopping);
  void execute(const bundle_offer &Offer);
  void execute(const bundle_update &Update);
  void execute(const fetch_event &Event);
  void execute(const transfer_event &Event);
  void execute(const up_event &Event);
  void execute(const down_event &Event);
  void startPendingFetch();
  void endFetch();
  std::uint64_t heldVersion() const;

  peer_port &Peers;
  const clock &Clock;
  const bundle_listener OnBundle;
  const refusal_listener OnRefusal;
  bundle_replica Replica;
  bounded_ring<event> Events;
  std::optional<bundle_offer> PendingOffer;
  std::optional<open_fetch> Fetch;
  instant NextFetch{};
  link_id NextLink = FirstBundleLink;
  mutable std::mutex CurrentBundleMutex;
  std::shared_ptr<const signed_bundle> CurrentBundle;
  supervised_task Task;
};

} // namespace clementine

#endif
