#include "clementine_node/gossip/gossip_duty.h"

#include <algorithm>
#include <future>
#include <utility>

namespace clementine {

namespace {

/// How often the membership hears of the time.
constexpr std::chrono::milliseconds TickInterval{20};
/// How often interest in the services in use is renewed.
constexpr std::chrono::seconds WantInterval{10};
/// How long an upstream that started cold counts as warming.
constexpr std::chrono::seconds WarmingTime{10};
constexpr std::chrono::seconds LongestGoodbye{1};

} // namespace

service_directory directoryOf(const member_view &View) {
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

gossip_duty::gossip_duty(gossip_duty_settings Settings,
                         const peer_key_ring &Keys, const clock &Clock,
                         view_listener OnView)
    : Settings(std::move(Settings)), Clock(Clock), OnView(std::move(OnView)),
      Random(this->Settings.RandomSeed),
      Membership(this->Settings.Self, this->Settings.Membership, Keys, Random),
      Socket(this->Settings.Self.Gossip, TickInterval, *this) {}

gossip_duty::~gossip_duty() { gossip_duty::stop(); }

void gossip_duty::start() {
  Membership.join(Settings.Seeds, Clock.now());
  Socket.start();
}

void gossip_duty::stop() {
  auto Said = std::make_shared<std::promise<void>>();
  auto Done = Said->get_future();
  // The last datagrams leave with the next tick.
  Socket.post([this, Said] {
    Departing = true;
    Said->set_value();
  });
  if (Done.wait_for(LongestGoodbye) == std::future_status::ready)
    std::this_thread::sleep_for(2 * TickInterval);
  Socket.stop();
}

void gossip_duty::announce(const std::string &Service, std::uint16_t Weight,
                           bool IsCold) {
  Socket.post([this, Service, Weight, IsCold] {
    const instant Now = Clock.now();
    Membership.setService(Service, Weight, Now);
    Membership.setState(IsCold ? member_state::Warming : member_state::Alive,
                        Now);
    WarmAt.reset();
    if (IsCold)
      WarmAt = Now + WarmingTime;
  });
}

void gossip_duty::leave() {
  Socket.post([this] {
    WarmAt.reset();
    Membership.leave(Clock.now());
  });
}

void gossip_duty::want(const std::string &Service) {
  Socket.post([this, Service] {
    Wanted.insert(Service);
    Membership.want(Service, Clock.now());
  });
}

void gossip_duty::holdBundle(std::uint64_t Version, std::uint64_t Digest) {
  Socket.post([this, Version, Digest] {
    Membership.setBundle({Version, Digest}, Clock.now());
  });
}

std::vector<addressed_datagram>
gossip_duty::datagramArrived(const endpoint &From,
                             std::span<const std::byte> Bytes) {
  if (Departing)
    return {};
  auto Answers = Membership.receive(From, Bytes, Clock.now());
  publishView();
  return addressed(std::move(Answers));
}

std::vector<addressed_datagram> gossip_duty::onTick() {
  const instant Now = Clock.now();
  if (Departing)
    return addressed(Membership.depart(Now));
  renewWants(Now);
  endWarming(Now);
  auto Due = Membership.tick(Now);
  publishView();
  return addressed(std::move(Due));
}

void gossip_duty::renewWants(instant Now) {
  if (Now < NextWant)
    return;
  NextWant = Now + WantInterval;
  for (const std::string &Service : Wanted)
    Membership.want(Service, Now);
}

void gossip_duty::endWarming(instant Now) {
  if (!WarmAt || Now < *WarmAt)
    return;
  WarmAt.reset();
  Membership.setState(member_state::Alive, Now);
}

void gossip_duty::publishView() {
  const member_view &View = Membership.view();
  if (View.Version == PublishedVersion)
    return;
  PublishedVersion = View.Version;
  OnView(View);
}

std::vector<addressed_datagram>
gossip_duty::addressed(std::vector<outgoing_datagram> Datagrams) {
  std::vector<addressed_datagram> Result;
  Result.reserve(Datagrams.size());
  for (outgoing_datagram &Datagram : Datagrams)
    Result.push_back({std::move(Datagram.To), std::move(Datagram.Bytes)});
  return Result;
}

} // namespace clementine
