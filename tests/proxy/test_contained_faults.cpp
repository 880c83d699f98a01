#include "clementine_proxy/clementine_proxy.h"
#include "clementine_proxy/node/decision_timer.h"
#include "clementine_proxy/node/lasting_task.h"
#include "clementine_proxy/node/loop_calls.h"
#include "clementine_proxy/peers/peer_hub.h"

#include <doctest/doctest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <map>
#include <stdexcept>
#include <thread>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const header_names Names{"X-Id",     "X-Wait", "X-Proof",
                         "X-Expect", "X-Not",  "X-From"};

/// Throws in each call while Fails is set.
struct thrower {
  void check() {
    if (!Fails)
      return;
    ++Thrown;
    throw std::runtime_error("planted fault");
  }

  bool Fails = false;
  int Thrown = 0;
};

std::uint16_t freePort() {
  asio::io_context Loop;
  return tcp::acceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0})
      .local_endpoint()
      .port();
}

/// Runs the loop as the node does: an exception ends one handler.
template <class Condition>
bool runUntil(asio::io_context &Loop, const Condition &IsMet) {
  for (int Step = 0; Step < 5000 && !IsMet(); ++Step) {
    Loop.restart();
    try {
      Loop.run_one_for(1ms);
    } catch (const std::runtime_error &) {
      continue;
    }
  }
  return IsMet();
}

class faulty_port final : public forward_port, public gate_port {
public:
  bool openLink(const node_record &) override { return true; }
  void send(const std::string &, peer_message Message) override {
    Fault.check();
    Sent.push_back(std::move(Message));
  }
  void answer(call_number Call, response Response) override {
    Statuses[Call] = Response.Status;
  }
  void callInstance(instance_call Call) override {
    Fault.check();
    Called.push_back(Call.Attempt);
  }
  void abortInstance(const attempt_id &) override {}
  void report(std::uint64_t, run_report Report) override {
    Reports.push_back(std::move(Report));
  }

  thrower Fault;
  std::vector<peer_message> Sent;
  std::map<call_number, unsigned> Statuses;
  std::vector<attempt_id> Called;
  std::vector<run_report> Reports;
};

struct engine {
  engine() {
    auto Config = std::make_shared<routing_config>();
    Config->Version = 1;
    Config->Routes.push_back(
        {"book", "h", "/book/", false, 1000ms, 500ms, 0, 2, {{"svc", 1}}});
    Forwarder.setConfig(Config);
    Directory.record({"a", 1, "z", {"127.0.0.1", 1}, "svc", "i", 10});
    Registration.report({"i-1",
                         "svc",
                         "z",
                         {"127.0.0.1", 80},
                         instance_state::Ready,
                         1,
                         {},
                         100,
                         1});
    Gate.instanceChanged(Now);
  }

  void begin(call_number Call) {
    request Request;
    Request.Method = "POST";
    Request.Target = "/book/1";
    Request.Headers = {{"Host", "h"}, {"X-Id", "id-" + std::to_string(Call)}};
    Forwarder.begin(Call, std::move(Request), Now);
  }

  attempt_request order(std::uint64_t Number) const {
    attempt_request Order;
    Order.Attempt = {1, Number};
    Order.Service = "svc";
    Order.TimeLeftMicroseconds = 1000000;
    return Order;
  }

  instant Now = std::chrono::steady_clock::now();
  seeded_random Random{1};
  faulty_port Port;
  instance_directory Directory{{"self", "z"}, Random};
  forwarder Forwarder{{"self", "home"}, Names, Directory, Port, Random};
  instance_registration Registration{"svc", {"127.0.0.1", 80}};
  instance_gate Gate{{}, Registration, Port};
};

/// Throws in every callback while it is told to.
class faulty_listener final : public peer_hub_listener {
public:
  explicit faulty_listener(std::string Name) : Name(std::move(Name)) {}

  peer_hello helloTo(const std::string &) override {
    Fault.check();
    peer_hello Hello;
    Hello.Self.Node = Name;
    return Hello;
  }
  peer_status status() override {
    Fault.check();
    return {};
  }
  void peerUp(const std::string &, const peer_hello &) override {
    Fault.check();
    ++Up;
  }
  void peerDown(const std::string &, bool) override { Fault.check(); }
  void peerUnresponsive(const std::string &) override { Fault.check(); }
  void peerReplyReceived(const std::string &, peer_message) override {
    Fault.check();
    ++Replies;
  }
  void peerRequestReceived(std::uint64_t Link, peer_message) override {
    Fault.check();
    LastLink = Link;
    ++Requests;
  }

  const std::string Name;
  thrower Fault;
  int Up = 0;
  int Replies = 0;
  int Requests = 0;
  std::uint64_t LastLink = 0;
};

/// Answers each request at once; throws instead while it is told to.
class faulty_handler final : public http_handler {
public:
  void handle(request, responder Respond, disconnect_callback &) override {
    Fault.check();
    response Response;
    Response.Status = 200;
    Respond(std::move(Response));
  }
  caller_limits limits() const override { return {}; }

  thrower Fault;
};

} // namespace

TEST_CASE("a task that fails more often than any restart limit neither ends "
          "nor aborts the process") {
  constexpr int Failures = 40;
  metrics_registry Metrics;
  fault_guard Faults(Metrics);
  std::atomic<int> Runs = 0;
  std::atomic<bool> HasRun = false;
  const auto Task = makeLastingTask(
      "test",
      [&](const std::atomic<bool> &) {
        if (++Runs <= Failures)
          throw std::runtime_error("planted fault");
        HasRun = true;
      },
      [] {}, 1ms, Faults);
  Task->start();
  for (int Step = 0; Step < 2000 && !HasRun; ++Step)
    std::this_thread::sleep_for(1ms);
  Task->stop();
  CHECK(HasRun);
  CHECK(Metrics.prometheusText().find(
            "clementine_faults_total{place=\"test\"} " +
            std::to_string(Failures)) != std::string::npos);
}

TEST_CASE("an exception while a request is handled at the entry ends that "
          "request as possibly run, and no other") {
  engine Test;
  Test.begin(1);
  Test.begin(2);
  REQUIRE(Test.Port.Sent.size() == 2);
  Test.Port.Fault.Fails = true;
  SUBCASE("when its time is up") {
    Test.Forwarder.passTime(Test.Now + 2s);
    CHECK(Test.Port.Fault.Thrown == 2);
    CHECK(Test.Port.Statuses[1] == 502);
    CHECK(Test.Port.Statuses[2] == 502);
  }
  SUBCASE("when its link is back") {
    Test.Forwarder.linkUp("a", 1, Test.Now);
    CHECK(Test.Port.Fault.Thrown == 2);
    CHECK(Test.Port.Statuses[1] == 502);
    CHECK(Test.Port.Statuses[2] == 502);
  }
  SUBCASE("when the process ends") {
    Test.Forwarder.cancelAll(Test.Now);
    CHECK(Test.Port.Statuses[1] == 502);
    CHECK(Test.Port.Statuses[2] == 502);
  }
  SUBCASE("when its gate reports") {
    Test.Directory.record({"b", 1, "z", {"127.0.0.1", 1}, "svc", "i", 10});
    run_report Report;
    Report.Attempt = std::get<attempt_request>(Test.Port.Sent[0]).Attempt;
    Report.Cause = run_cause::Overloaded;
    Test.Forwarder.handleReport("a", Report, Test.Now);
    CHECK(Test.Port.Statuses[1] == 502);
    Test.Port.Fault.Fails = false;
    Report.Attempt = std::get<attempt_request>(Test.Port.Sent[1]).Attempt;
    Report.Outcome = run_outcome::Completed;
    Report.Response.Status = 200;
    Test.Forwarder.handleReport("a", Report, Test.Now);
    CHECK(Test.Port.Statuses[2] == 200);
  }
  CHECK(Test.Forwarder.active() == 0);
}

TEST_CASE("an exception while a gate starts a run leaves neither its slot "
          "taken nor its order without a report") {
  engine Test;
  Test.Port.Fault.Fails = true;
  const attempt_request Order = Test.order(1);
  CHECK_THROWS(Test.Gate.order(7, Order, Test.Now));
  Test.Gate.abandon(Order.Attempt, Test.Now);
  REQUIRE(Test.Port.Reports.size() == 1);
  CHECK(Test.Port.Reports[0].Outcome == run_outcome::Unknown);
  CHECK(Test.Gate.active() == 0);
  Test.Port.Fault.Fails = false;
  Test.Gate.order(7, Test.order(2), Test.Now);
  CHECK(Test.Port.Called.size() == 1);
  Test.Gate.order(7, Test.order(3), Test.Now);
  Test.Gate.abandon({1, 3}, Test.Now);
  REQUIRE(Test.Port.Reports.size() == 2);
  CHECK(Test.Port.Reports[1].Outcome == run_outcome::NotRun);
}

TEST_CASE(
    "an action that throws on the event loop does not block the stop that "
    "waits for it") {
  asio::io_context Loop;
  const auto Work = asio::make_work_guard(Loop);
  std::atomic<int> Ended = 0;
  std::thread Stop([&] {
    runOnLoop(Loop, [] { throw std::runtime_error("planted fault"); });
    ++Ended;
    runOnLoop(Loop, [] {});
    ++Ended;
  });
  CHECK(runUntil(Loop, [&] { return Ended == 2; }));
  if (Ended == 2)
    Stop.join();
  else
    Stop.detach();
}

TEST_CASE("an exception in a due decision leaves the timer armed") {
  engine Test;
  asio::io_context Loop;
  decision_timer Timer(Loop, Test.Forwarder, Test.Gate);
  Test.Now = boot_clock().now() - 900ms;
  Test.begin(1);
  Timer.schedule();
  Test.Port.Fault.Fails = true;
  CHECK(runUntil(Loop, [&] { return Test.Port.Statuses.contains(1); }));
  Test.Port.Fault.Fails = false;
  Test.Now = boot_clock().now() - 900ms;
  Test.begin(2);
  Timer.schedule();
  CHECK(runUntil(Loop, [&] { return Test.Port.Statuses.contains(2); }));
}

TEST_CASE("a listener that throws in every callback costs links, not the hub") {
  asio::io_context Loop;
  faulty_listener GateListener("gate");
  faulty_listener EntryListener("entry");
  const endpoint Gate{"127.0.0.1", freePort()};
  peer_hub GateHub(Loop, {}, Gate, GateListener);
  peer_hub EntryHub(Loop, {}, {"127.0.0.1", freePort()}, EntryListener);
  GateHub.start();
  EntryHub.start();
  for (faulty_listener *Faulty : {&GateListener, &EntryListener}) {
    CAPTURE(Faulty->Name);
    for (const bool FailsFromStart : {true, false}) {
      CAPTURE(FailsFromStart);
      Faulty->Fault = {FailsFromStart, 0};
      const auto Send = [&] {
        if (EntryHub.open("gate", Gate))
          EntryHub.sendTo("gate", peer_probe{});
      };
      if (!FailsFromStart) {
        REQUIRE(runUntil(Loop, [&] { return EntryHub.open("gate", Gate); }));
        Faulty->Fault.Fails = true;
      }
      CHECK(runUntil(Loop, [&] {
        Send();
        return Faulty->Fault.Thrown >= 3;
      }));
      Faulty->Fault.Fails = false;
      const int Before = EntryListener.Replies;
      CHECK(runUntil(Loop, [&] {
        Send();
        return EntryListener.Replies > Before;
      }));
    }
  }
  GateHub.stop();
  EntryHub.stop();
  runUntil(Loop, [] { return false; });
}

TEST_CASE("a handler that throws costs one connection, not the server") {
  asio::io_context Loop;
  faulty_handler Handler;
  const endpoint Address{"127.0.0.1", freePort()};
  http_listener Listener(Loop, Address, Handler, 8);
  Listener.start();
  const auto Ask = [&] {
    tcp::socket Client(Loop);
    Client.connect({asio::ip::make_address(Address.Host), Address.Port});
    asio::write(Client, asio::buffer("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 27));
    std::string Received(64, '\0');
    std::size_t Bytes = 0;
    bool HasEnded = false;
    Client.async_read_some(asio::buffer(Received),
                           [&](const auto &Error, std::size_t Count) {
                             HasEnded = true;
                             Bytes = Error ? 0 : Count;
                           });
    CHECK(runUntil(Loop, [&] { return HasEnded; }));
    return Received.substr(0, Bytes);
  };
  Handler.Fault.Fails = true;
  for (int Request = 0; Request < 20; ++Request)
    CHECK(Ask().empty());
  CHECK(Handler.Fault.Thrown == 20);
  Handler.Fault.Fails = false;
  CHECK(Ask().starts_with("HTTP/1.1 200"));
  Listener.stop();
}
