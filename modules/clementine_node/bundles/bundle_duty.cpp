#include "clementine_node/bundles/bundle_duty.h"

#include <utility>

namespace clementine {

namespace {

constexpr std::size_t EventCapacity = 256;
constexpr std::chrono::milliseconds TickInterval{100};
/// How long one peer has for answering a fetch.
constexpr std::chrono::seconds FetchPatience{2};
/// The wait after a fetch that brought nothing.
constexpr std::chrono::milliseconds FetchPause{200};

} // namespace

bundle_duty::bundle_duty(trusted_owners Owners, peer_port &Peers,
                         const clock &Clock, held_listener OnHeld,
                         refusal_listener OnRefusal)
    : Peers(Peers), Clock(Clock), OnHeld(std::move(OnHeld)),
      OnRefusal(std::move(OnRefusal)), Replica(std::move(Owners)),
      Events(EventCapacity),
      Task(
          "bundle",
          [this](const std::atomic<bool> &Stopping) { run(Stopping); },
          [this] { Events.close(); }, {}) {}

bundle_duty::~bundle_duty() { bundle_duty::stop(); }

void bundle_duty::stop() { Task.stop(); }

void bundle_duty::peerOffers(bundle_offer Offer) {
  Events.tryPush(std::move(Offer));
}

void bundle_duty::platformHolds(bundle_update Update) {
  Events.tryPush(std::move(Update));
}

void bundle_duty::peerFetches(link_id Link, const bundle_fetch &Fetched) {
  Events.tryPush(fetch_event{Link, Fetched});
}

void bundle_duty::transferArrived(link_id Link, bundle_transfer Transfer) {
  Events.tryPush(transfer_event{Link, std::move(Transfer)});
}

void bundle_duty::linkUp(link_id Link) { Events.tryPush(up_event{Link}); }

void bundle_duty::linkDown(link_id Link) { Events.tryPush(down_event{Link}); }

std::shared_ptr<const signed_bundle> bundle_duty::held() const {
  const std::lock_guard Lock(HeldMutex);
  return Held;
}

void bundle_duty::run(const std::atomic<bool> &Stopping) {
  while (!Stopping) {
    for (event &Event : Events.takeAll(TickInterval))
      std::visit([this](const auto &Kind) { execute(Kind); }, Event);
    if (Fetch && Clock.now() >= Fetch->GiveUpAt)
      endFetch();
    fetchWanted();
  }
}

void bundle_duty::execute(const bundle_offer &Offer) {
  if (Offer.Version <= heldVersion())
    return;
  // The latest speaker of the highest version is the one to ask.
  if (!Wanted || Offer.Version >= Wanted->Version)
    Wanted = Offer;
}

void bundle_duty::execute(const bundle_update &Update) {
  const auto Considered = Replica.consider(Update);
  if (Considered.has_error()) {
    if (Considered.error().Fault != update_fault::NotNewer)
      OnRefusal(Considered.error());
    return;
  }
  {
    const std::lock_guard Lock(HeldMutex);
    Held = Considered.value();
  }
  OnHeld(Considered.value());
}

void bundle_duty::execute(const fetch_event &Event) {
  const auto Update = Replica.answer(Event.Fetch.HaveVersion);
  bundle_transfer Transfer;
  // An empty transfer says that there is nothing newer here.
  if (Update.has_value())
    Transfer.Update = encodeUpdate(Update.value());
  Peers.sendOn(Event.Link, std::move(Transfer));
}

void bundle_duty::execute(const transfer_event &Event) {
  if (!Fetch || Event.Link != Fetch->Link)
    return;
  endFetch();
  if (Event.Transfer.Update.empty())
    return;
  const auto Update = decodeUpdate(Event.Transfer.Update);
  if (Update.has_value())
    execute(Update.value());
}

void bundle_duty::execute(const up_event &Event) {
  if (Fetch && Event.Link == Fetch->Link)
    Peers.sendOn(Event.Link, bundle_fetch{heldVersion()});
}

void bundle_duty::execute(const down_event &Event) {
  if (Fetch && Event.Link == Fetch->Link)
    Fetch.reset();
}

void bundle_duty::fetchWanted() {
  const instant Now = Clock.now();
  if (Wanted && Wanted->Version <= heldVersion())
    Wanted.reset();
  if (Fetch || !Wanted || Now < NextFetch)
    return;
  NextFetch = Now + FetchPause;
  Fetch = open_fetch{NextLink++, *Wanted, Now + FetchPatience};
  Peers.openLink(Fetch->Link, Fetch->Offer.Peer);
}

void bundle_duty::endFetch() {
  Peers.closeLink(Fetch->Link);
  Fetch.reset();
}

std::uint64_t bundle_duty::heldVersion() const {
  return Replica.summary().Version;
}

} // namespace clementine
