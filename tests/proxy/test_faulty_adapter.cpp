#include "clementine_proxy/clementine_proxy.h"
#include "clementine_proxy/node/proxy_node.h"
#include "stand_in_http/http_client.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <stdexcept>
#include <thread>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;

namespace {

/// Whether the adapter and its store throw, and how often each has done so.
class planted_faults {
public:
  void check(int Place) {
    if (!Fails)
      return;
    ++Thrown.at(static_cast<std::size_t>(Place));
    throw std::runtime_error("planted fault");
  }

  std::atomic<bool> Fails = true;
  std::array<std::atomic<int>, 8> Thrown{};
};

class faulty_store final : public memory_platform_store {
public:
  faulty_store(const clementine::clock &Time, planted_faults &Faults)
      : memory_platform_store(Time), Faults(Faults) {}

  result<std::optional<platform_entry>, platform_error>
  get(const std::string &Key) override {
    Faults.check(0);
    return memory_platform_store::get(Key);
  }
  result<platform_range, platform_error>
  list(const std::string &Prefix) override {
    // Two watchers list by turns; for each, some listings succeed so that it
    // also decodes and watches.
    if (++Lists % 3 == 0)
      Faults.check(1);
    return memory_platform_store::list(Prefix);
  }
  result<platform_commit, platform_error>
  commit(const platform_transaction &Transaction) override {
    Faults.check(2);
    return memory_platform_store::commit(Transaction);
  }
  result<platform_lease, platform_error>
  grantLease(std::chrono::seconds TimeToLive) override {
    Faults.check(3);
    return memory_platform_store::grantLease(TimeToLive);
  }
  result<void, platform_error>
  watch(const std::string &Prefix, platform_revision From,
        const watch_listener &Listener,
        const std::atomic<bool> &Stopping) override {
    Faults.check(4);
    return memory_platform_store::watch(Prefix, From, Listener, Stopping);
  }

private:
  planted_faults &Faults;
  std::atomic<int> Lists = 0;
};

class faulty_adapter final : public deployment_adapter {
public:
  explicit faulty_adapter(planted_faults &Faults)
      : Faults(Faults), Store(Time, Faults) {}

  platform_store &store() override { return Store; }
  const std::string &configKey() const override { return Key; }
  result<routing_config, decode_error>
  decodeConfig(std::string_view) const override {
    Faults.check(5);
    routing_config Config;
    Config.Version = 1;
    return Config;
  }
  const header_names &headers() const override { return Names; }
  result<instance_call_content, decode_error>
  decodeInstanceCall(const request &) const override {
    Faults.check(6);
    return instance_call_content(unknown_call());
  }
  bool isReadinessProbe(const request &) const override {
    Faults.check(7);
    return true;
  }

private:
  planted_faults &Faults;
  const monotonic_clock Time;
  faulty_store Store;
  const std::string Key = "config";
  const header_names Names{"X-Id",     "X-Wait", "X-Proof",
                           "X-Expect", "X-Not",  "X-From"};
};

endpoint freeEndpoint() {
  boost::asio::io_context Loop;
  const boost::asio::ip::tcp::acceptor Probe(
      Loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", Probe.local_endpoint().port()};
}

proxy_settings settingsOf() {
  proxy_settings Settings;
  Settings.Name = "n";
  Settings.Zone = "z";
  Settings.Service = "svc";
  Settings.InstanceAddress = freeEndpoint();
  for (endpoint proxy_settings::*Each :
       {&proxy_settings::OutboundListen, &proxy_settings::ControlListen,
        &proxy_settings::ReadyListen, &proxy_settings::PeerListen,
        &proxy_settings::MetricsListen})
    Settings.*Each = freeEndpoint();
  Settings.StopGrace = 6s;
  return Settings;
}

} // namespace

TEST_CASE("a node survives exceptions in each of its tasks and in the handling "
          "of every call, and works once they end") {
  planted_faults Faults;
  faulty_adapter Adapter(Faults);
  Faults.Fails = false;
  REQUIRE(Adapter.store().commit({{}, {{"config", "text", 0}}, {}}));
  Faults.Fails = true;
  const proxy_settings Settings = settingsOf();
  proxy_node Node(Settings, Adapter);
  Node.start();
  stand_in::http_client Client;
  const auto StatusAt = [&](const endpoint &Address, const char *Path) {
    const auto Answer = Client.get("http://" + Address.text() + Path, 1s);
    return Answer ? Answer->Status : 0;
  };
  const auto Until = std::chrono::steady_clock::now() + 20s;
  const auto HasThrown = [&](int Place) {
    return Faults.Thrown.at(static_cast<std::size_t>(Place)) > 0;
  };
  bool IsListed = false;
  while (std::chrono::steady_clock::now() < Until && !IsListed) {
    CHECK(StatusAt(Settings.ControlListen, "/report") == 0);
    CHECK(StatusAt(Settings.ReadyListen, "/ready") == 0);
    std::this_thread::sleep_for(50ms);
    IsListed = HasThrown(1) && HasThrown(4) && HasThrown(5);
  }
  CHECK(IsListed);
  CHECK(HasThrown(6));
  CHECK(HasThrown(7));
  Faults.Fails = false;
  bool IsReady = false;
  while (std::chrono::steady_clock::now() < Until && !IsReady) {
    std::this_thread::sleep_for(50ms);
    IsReady = StatusAt(Settings.ReadyListen, "/ready") == 200;
  }
  CHECK(IsReady);
  CHECK(StatusAt(Settings.ControlListen, "/report") == 404);
  CHECK(StatusAt(Settings.OutboundListen, "/none/") == 404);
  const auto Metrics =
      Client.get("http://" + Settings.MetricsListen.text() + "/metrics", 1s);
  REQUIRE(Metrics);
  for (const char *Place : {"loop", "config", "nodes"})
    CHECK(Metrics->Body.find(std::string("clementine_faults_total{place=\"") +
                             Place) != std::string::npos);
  CHECK(Node.stop());
}
