#include "clementine_node/gossip/gossip_task.h"

#include <algorithm>
#include <future>
#include <utility>

namespace clementine {

namespace {

/// Interval between two ticks of the membership.
constexpr std::chrono::milliseconds TickInterval{20};
/// How often the subscriptions to the services in use are renewed.
constexpr std::chrono::seconds SubscriptionRenewalInterval{10};
/// How long an upstream that was announced as cold stays in state Warming.
constexpr std::chrono::seconds WarmupPeriod{10};
/// Maximum wait for the gossip thread to start the departure.
constexpr std::chrono::seconds MaxDepartureWait{1};

} // namespace

service_directory makeServiceDirectory(const member_view &View) {
  service_directory Directory;
  for (const auto &[Service, Members] : View.ByService) {
    std::vector<service_instance> &Instances = Directory.Services[Service];
    for (const shared_member &Member : Members) {
      service_instance Instance;
      Instance.Candidate.Node = Member->Identity;
      Instance.Candidate.DataCentre = Member->DataCentre;
      Instance.Candidate.Weight = std::max<double>(1.0, Member->Weight);
      Instance.Candidate.Warming = Member->State == member_state::Warming;
      Instance.Candidate.Leaving = Member->State == member_state::Leaving;
      Instance.Peer = Member->Peer;
      Instances.push_back(std::move(Instance));
    }
  }
  return Directory;
}

gossip_task::gossip_task(gossip_task_settings Settings,
                         const peer_key_ring &Keys, const clock &Clock,
                         view_listener OnView)
    : Settings(std::move(Settings)), Clock(Clock), OnView(std::move(OnView)),
      Random(this->Settings.RandomSeed),
      Membership(this->Settings.Self, this->Settings.Membership, Keys, Random),
      Socket(this->Settings.Self.Gossip, TickInterval, *this) {}

gossip_task::~gossip_task() { gossip_task::stop(); }

void gossip_task::start() {
  Membership.join(Settings.Seeds, Clock.now());
  Socket.start();
}

void gossip_task::stop() {
  auto DepartureRequested = std::make_shared<std::promise<void>>();
  auto Done = DepartureRequested->get_future();
  // The last datagrams are sent with the next tick.
  Socket.post([this, DepartureRequested] {
    Departing = true;
    DepartureRequested->set_value();
  });
  if (Done.wait_for(MaxDepartureWait) == std::future_status::ready)
    std::this_thread::sleep_for(2 * TickInterval);
  Socket.stop();
}

void gossip_task::announce(const std::string &Service, std::uint16_t Weight,
                           bool IsCold) {
  Socket.post([this, Service, Weight, IsCold] {
    const instant Now = Clock.now();
    Membership.setService(Service, Weight, Now);
    Membership.setState(IsCold ? member_state::Warming : member_state::Alive,
                        Now);
    WarmupEnd.reset();
    if (IsCold)
      WarmupEnd = Now + WarmupPeriod;
  });
}

void gossip_task::leave() {
  Socket.post([this] {
    WarmupEnd.reset();
    Membership.leave(Clock.now());
  });
}

void gossip_task::watchService(const std::string &Service) {
  Socket.post([this, Service] {
    SubscribedServices.insert(Service);
    Membership.watchService(Service, Clock.now());
  });
}

void gossip_task::announceBundle(std::uint64_t Version, std::uint64_t Digest) {
  Socket.post([this, Version, Digest] {
    Membership.setBundle({Version, Digest}, Clock.now());
  });
}

std::vector<addressed_datagram>
gossip_task::datagramArrived(const endpoint &From,
                             std::span<const std::byte> Bytes) {
  if (Departing)
    return {};
  auto Answers = Membership.receive(From, Bytes, Clock.now());
  publishView();
  return addressed(std::move(Answers));
}

std::vector<addressed_datagram> gossip_task::onTick() {
  const instant Now = Clock.now();
  if (Departing)
    return addressed(Membership.depart(Now));
  renewSubscriptions(Now);
  endWarmup(Now);
  auto Due = Membership.tick(Now);
  publishView();
  return addressed(std::move(Due));
}

void gossip_task::renewSubscriptions(instant Now) {
  if (Now < NextRenewal)
    return;
  NextRenewal = Now + SubscriptionRenewalInterval;
  for (const std::string &Service : SubscribedServices)
    Membership.watchService(Service, Now);
}

void gossip_task::endWarmup(instant Now) {
  if (!WarmupEnd || Now < *WarmupEnd)
    return;
  WarmupEnd.reset();
  Membership.setState(member_state::Alive, Now);
}

void gossip_task::publishView() {
  const member_view &View = Membership.view();
  if (View.Version == PublishedVersion)
    return;
  PublishedVersion = View.Version;
  OnView(View);
}

std::vector<addressed_datagram>
gossip_task::addressed(std::vector<outgoing_datagram> Datagrams) {
  std::vector<addressed_datagram> Result;
  Result.reserve(Datagrams.size());
  for (outgoing_datagram &Datagram : Datagrams)
    Result.push_back({std::move(Datagram.To), std::move(Datagram.Bytes)});
  return Result;
}

} // namespace clementine
