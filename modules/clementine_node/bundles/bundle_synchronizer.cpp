#include "clementine_node/bundles/bundle_synchronizer.h"

#include <utility>

namespace clementine {

namespace {

constexpr std::size_t EventCapacity = 256;
constexpr std::chrono::milliseconds TickInterval{100};
/// Time limit for one peer to answer a fetch.
constexpr std::chrono::seconds FetchTimeout{2};
/// Minimum time between the starts of two fetches.
constexpr std::chrono::milliseconds MinFetchInterval{200};

} // namespace

bundle_synchronizer::bundle_synchronizer(trusted_owners Owners,
                                         peer_port &Peers, const clock &Clock,
                                         bundle_listener OnBundle,
                                         refusal_listener OnRefusal)
    : Peers(Peers), Clock(Clock), OnBundle(std::move(OnBundle)),
      OnRefusal(std::move(OnRefusal)), Replica(std::move(Owners)),
      Events(EventCapacity),
      Task(
          "bundle",
          [this](const std::atomic<bool> &Stopping) { run(Stopping); },
          [this] { Events.close(); }, {}) {}

bundle_synchronizer::~bundle_synchronizer() { bundle_synchronizer::stop(); }

void bundle_synchronizer::stop() { Task.stop(); }

void bundle_synchronizer::offerArrived(bundle_offer Offer) {
  Events.tryPush(std::move(Offer));
}

void bundle_synchronizer::updateArrived(bundle_update Update) {
  Events.tryPush(std::move(Update));
}

void bundle_synchronizer::fetchArrived(link_id Link,
                                       const bundle_fetch &Fetched) {
  Events.tryPush(fetch_event{Link, Fetched});
}

void bundle_synchronizer::transferArrived(link_id Link,
                                          bundle_transfer Transfer) {
  Events.tryPush(transfer_event{Link, std::move(Transfer)});
}

void bundle_synchronizer::linkUp(link_id Link) {
  Events.tryPush(up_event{Link});
}

void bundle_synchronizer::linkDown(link_id Link) {
  Events.tryPush(down_event{Link});
}

std::shared_ptr<const signed_bundle>
bundle_synchronizer::currentBundle() const {
  const std::lock_guard Lock(CurrentBundleMutex);
  return CurrentBundle;
}

void bundle_synchronizer::run(const std::atomic<bool> &Stopping) {
  while (!Stopping) {
    for (event &Event : Events.takeAll(TickInterval))
      std::visit([this](const auto &Kind) { execute(Kind); }, Event);
    if (Fetch && Clock.now() >= Fetch->Deadline)
      endFetch();
    startPendingFetch();
  }
}

void bundle_synchronizer::execute(const bundle_offer &Offer) {
  if (Offer.Version <= heldVersion())
    return;
  // Fetches from the peer that last offered the highest version.
  if (!PendingOffer || Offer.Version >= PendingOffer->Version)
    PendingOffer = Offer;
}

void bundle_synchronizer::execute(const bundle_update &Update) {
  const auto Considered = Replica.applyUpdate(Update);
  if (Considered.has_error()) {
    if (Considered.error().Fault != update_fault::NotNewer)
      OnRefusal(Considered.error());
    return;
  }
  {
    const std::lock_guard Lock(CurrentBundleMutex);
    CurrentBundle = Considered.value();
  }
  OnBundle(Considered.value());
}

void bundle_synchronizer::execute(const fetch_event &Event) {
  const auto Update = Replica.answer(Event.Fetch.HaveVersion);
  bundle_transfer Transfer;
  // An empty transfer means that this node holds nothing newer.
  if (Update.has_value())
    Transfer.Update = encodeUpdate(Update.value());
  Peers.sendOn(Event.Link, std::move(Transfer));
}

void bundle_synchronizer::execute(const transfer_event &Event) {
  if (!Fetch || Event.Link != Fetch->Link)
    return;
  endFetch();
  if (Event.Transfer.Update.empty())
    return;
  const auto Update = decodeUpdate(Event.Transfer.Update);
  if (Update.has_value())
    execute(Update.value());
}

void bundle_synchronizer::execute(const up_event &Event) {
  if (Fetch && Event.Link == Fetch->Link)
    Peers.sendOn(Event.Link, bundle_fetch{heldVersion()});
}

void bundle_synchronizer::execute(const down_event &Event) {
  if (Fetch && Event.Link == Fetch->Link)
    Fetch.reset();
}

void bundle_synchronizer::startPendingFetch() {
  const instant Now = Clock.now();
  if (PendingOffer && PendingOffer->Version <= heldVersion())
    PendingOffer.reset();
  if (Fetch || !PendingOffer || Now < NextFetch)
    return;
  NextFetch = Now + MinFetchInterval;
  Fetch = open_fetch{NextLink++, *PendingOffer, Now + FetchTimeout};
  Peers.openLink(Fetch->Link, Fetch->Offer.Peer);
}

void bundle_synchronizer::endFetch() {
  Peers.closeLink(Fetch->Link);
  Fetch.reset();
}

std::uint64_t bundle_synchronizer::heldVersion() const {
  return Replica.summary().Version;
}

} // namespace clementine
