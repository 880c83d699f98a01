#include "clementine_proxy/peers/peer_hub.h"
#include "stand_in_users_platform/local_mesh.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>

using namespace clementine;
using namespace clementine::proxy;
using namespace clementine::stand_in;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t PeerPort = 22004;
/// Neither a machine nor the store of the mesh has this address.
constexpr const char *OtherHost = "127.0.11.201";

/// A node that knows nothing of its peer's stop and goes on sending orders.
class late_entry final : private peer_hub_listener {
public:
  late_entry(std::string Name, std::uint16_t Port, const endpoint &Gate)
      : Name(std::move(Name)), Hub(Loop, {}, {OtherHost, Port}, *this) {
    Hub.start();
    Hub.open("archive-east", Gate);
  }
  ~late_entry() override { Hub.stop(); }

  late_entry(const late_entry &) = delete;
  late_entry &operator=(const late_entry &) = delete;

  bool isUp() const { return Hub.isUp("archive-east"); }
  void passTime() { Loop.run_for(5ms); }

  /// Sends an order that may not be repeated, if the link is up.
  void order() {
    if (!isUp())
      return;
    const std::string Id = Name + "-" + std::to_string(++Last);
    attempt_request Order;
    Order.Attempt = {Incarnation, Last};
    Order.RequestId = Id;
    Order.Service = "archive";
    Order.TimeLeftMicroseconds = 20000000;
    Order.Request.Method = "POST";
    Order.Request.Target = "/archive/1";
    Order.Request.Headers = {{"Host", "mesh.example"}, {"X-Request-Id", Id}};
    Order.Origin = {Name, Incarnation, Last};
    RequestIds[Order.Attempt.text()] = Id;
    Hub.sendTo("archive-east", Order);
  }

  /// By the text of the attempt's id.
  std::map<std::string, std::string> RequestIds;
  std::map<std::string, run_report> Reports;

private:
  static constexpr std::uint64_t Incarnation = 5;

  peer_hello helloTo(const std::string &) override {
    peer_hello Hello;
    Hello.Self = {Name, Incarnation, "east", {OtherHost, 1}, "", "", 0, {}};
    return Hello;
  }
  peer_status status() override { return {}; }
  void peerUp(const std::string &, const peer_hello &) override {}
  void peerDown(const std::string &, bool) override {}
  void peerUnresponsive(const std::string &) override {}
  void peerReplyReceived(const std::string &, peer_message Message) override {
    if (const auto *Report = std::get_if<run_report>(&Message))
      Reports[Report->Attempt.text()] = *Report;
  }
  void peerRequestReceived(std::uint64_t, peer_message) override {}

  const std::string Name;
  std::uint64_t Last = 0;
  boost::asio::io_context Loop;
  peer_hub Hub;
};

struct stop_result {
  int ExitCode = 0;
  /// Reports by outcome.
  std::map<run_outcome, int> Outcomes;
  /// Attempts that have run but got no report.
  int Unreported = 0;
  /// Attempts that were reported as not run but have run.
  int Denied = 0;
};

/// Stops archive-east while one node sends orders from before the stop on, and
/// another over a link that it opens @p NewLinkDelay after its begin.
stop_result stopUnderOrders(local_mesh &Mesh,
                            std::chrono::milliseconds Interval,
                            std::chrono::milliseconds NewLinkDelay,
                            std::chrono::milliseconds OrdersEnd) {
  const endpoint Gate{Mesh.outboundOf("archive-east").Host, PeerPort};
  late_entry Kept("kept", 22101, Gate);
  const auto Until = std::chrono::steady_clock::now() + 5s;
  while (!Kept.isUp() && std::chrono::steady_clock::now() < Until)
    Kept.passTime();
  REQUIRE(Kept.isUp());
  auto Exit = std::async(std::launch::async,
                         [&] { return Mesh.node("archive-east").stop(); });
  const auto Begun = std::chrono::steady_clock::now();
  std::unique_ptr<late_entry> New;
  auto Next = Begun;
  while (Exit.wait_for(0ms) != std::future_status::ready) {
    Kept.passTime();
    if (New)
      New->passTime();
    const auto Now = std::chrono::steady_clock::now();
    if (!New && Now - Begun >= NewLinkDelay)
      New = std::make_unique<late_entry>("new", 22102, Gate);
    if (Now < Next || Now - Begun > OrdersEnd)
      continue;
    Next += Interval;
    Kept.order();
    if (New)
      New->order();
  }
  stop_result Result;
  Result.ExitCode = Exit.get();
  for (late_entry *Entry : {&Kept, New.get()}) {
    Entry->passTime();
    for (const auto &[Attempt, Id] : Entry->RequestIds) {
      const bool HasRun = Mesh.Runs.of(Id) > 0;
      const auto Found = Entry->Reports.find(Attempt);
      if (Found == Entry->Reports.end()) {
        Result.Unreported += HasRun ? 1 : 0;
        continue;
      }
      ++Result.Outcomes[Found->second.Outcome];
      if (HasRun && Found->second.Outcome == run_outcome::NotRun)
        ++Result.Denied;
    }
  }
  return Result;
}

} // namespace

TEST_CASE("a planned stop in calm cuts off no order that comes late over a "
          "kept or a new link") {
  for (const std::chrono::seconds Grace : {6s, 10s}) {
    CAPTURE(Grace.count());
    local_mesh::settings Settings;
    Settings.StopGrace = Grace;
    local_mesh Mesh(Settings);
    REQUIRE(Mesh.awaitReady());
    Mesh.instance("archive-east").setServiceTime(700ms);
    const stop_result Stop = stopUnderOrders(Mesh, 150ms, 2500ms, 60s);
    CHECK(Stop.ExitCode == 0);
    CHECK(Stop.Unreported == 0);
    CHECK(Stop.Denied == 0);
    CHECK(Stop.Outcomes.at(run_outcome::Completed) > 0);
    CHECK(Stop.Outcomes.at(run_outcome::NotRun) > 0);
    CHECK_FALSE(Stop.Outcomes.contains(run_outcome::Unknown));
  }
}

TEST_CASE("a planned stop reports what is still running or queued at the end "
          "of its grace, and does not leave its entry without a report") {
  constexpr int Slots = 8;
  local_mesh Mesh;
  REQUIRE(Mesh.awaitReady());
  for (const char *Machine : {"archive-east", "archive-west", "archive-north"})
    Mesh.instance(Machine).setServiceTime(6500ms);
  auto CallerStatus = std::async(std::launch::async, [&] {
    std::this_thread::sleep_for(2400ms);
    return Mesh.call("archive-east", "/archive/1").Status;
  });
  const stop_result Stop = stopUnderOrders(Mesh, 100ms, 500ms, 1500ms);
  CHECK(Stop.ExitCode == 3);
  CHECK(Stop.Unreported == 0);
  CHECK(Stop.Denied == 0);
  CHECK(Stop.Outcomes.at(run_outcome::Unknown) == Slots);
  CHECK(CallerStatus.get() == 502);
  CHECK(Stop.Outcomes.at(run_outcome::NotRun) > 0);
}
