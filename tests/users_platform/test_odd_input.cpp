#include "users_platform.h"

#include "../stand_in/free_endpoint.h"
#include "clementine_proxy/clementine_proxy.h"
#include "clementine_proxy/node/store_synchronizer.h"
#include "stand_in_users_platform/kv_store.h"

#include <doctest/doctest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

using namespace clementine;
using namespace clementine::proxy;
namespace asio = boost::asio;

namespace {

const auto Platform = makeUsersPlatform({"127.0.0.1", 1});

const char *const ValidReport = R"({"service":"s","address":"10.0.0.1:80",
  "zone":"z","slots":65,"state":"ready","sequence":4,"born":1700})";

/// @returns the instance that a report with @p Id registers, or nothing if the
/// report is refused.
std::optional<std::string> registeredBy(const std::string &Id) {
  const auto Decoded = Platform->decodeInstanceCall(
      {"POST", "/clementinecove/Instances.Heartbeat/" + Id, {}, ValidReport});
  if (!Decoded)
    return std::nullopt;
  instance_registration Registration("s", {"10.0.0.1", 80});
  Registration.report(std::get<instance_report>(Decoded.value()));
  node_record Record{"n", 5, "z", {"10.0.0.1", 7000}, "s", "", 65};
  Record.Instance = Registration.ready()->Instance;
  Record.Departed = instance_run{Record.Instance, 1};
  std::string Text;
  CHECK_NOTHROW(Text = Record.encoded());
  CHECK(node_record::decode(Text) == Record);
  std::string Frame;
  CHECK_NOTHROW(Frame = encodeFrame(peer_hello{Record, 1, {Record.Instance}}));
  return Record.Instance;
}

/// Records what a synchronizer reads from the store.
class recording_listener final : public store_listener {
public:
  void configRead(const std::shared_ptr<const routing_config> &Config,
                  platform_revision) override {
    Configs.push_back(Config->Version);
  }
  void recordsListed(const std::vector<node_record> &Records,
                     const store_position &) override {
    Listed.clear();
    for (const node_record &Record : Records)
      Listed.push_back(Record.Node);
  }
  void recordChanged(const node_record &Record,
                     const store_position &) override {
    Changed.push_back(Record.Node);
  }
  void recordRemoved(const std::string &, const store_position &) override {}

  std::vector<std::uint64_t> Configs;
  std::vector<std::string> Listed;
  std::vector<std::string> Changed;
};

std::string recordOf(const std::string &Node) {
  return node_record{Node, 5, "z", {"10.0.0.1", 7000}, "s", "i-1", 65}
      .encoded();
}

std::string configOf(unsigned Version) {
  return R"({"version":"r)" + std::to_string(Version) + R"(","resources":[]})";
}

/// Values that another writer may have left.
std::vector<std::string> oddValues() {
  return {"",
          std::string(500000, '['),
          std::string(500000, '[') + std::string(500000, ']'),
          R"({"node":"odd","port":70000,"incarnation":1e300})",
          std::string("\xff\xfe\0\x01", 4),
          "[]",
          "null"};
}

const char *const OddIds[] = {"i-7\xe1",      "\xff",  "i-\xc3", "\xc0\xaf",
                              "\xed\xa0\x80", "i\x01", "i\x7f"};

} // namespace

TEST_CASE("a report whose id is not UTF-8, has control characters or is too "
          "long is refused and leaves the node's record writable") {
  for (const std::string Id : OddIds) {
    CAPTURE(Id);
    CHECK(registeredBy(Id) == std::nullopt);
  }
  CHECK(registeredBy(std::string(MaxNameLength + 1, 'i')) == std::nullopt);
  for (const std::string &Id :
       {std::string("i-7"), std::string("i-\xc3\xa9"),
        std::string("\xf0\x9f\x98\x80"), std::string(MaxNameLength, 'i')})
    CHECK(registeredBy(Id) == Id);
}

TEST_CASE("a deregistration with such an id is refused") {
  const auto Decode = [](const std::string &Id) {
    return Platform->decodeInstanceCall(
        {"POST", "/clementinecove/Instances.Deregister/" + Id, {}, ""});
  };
  CHECK(Decode("i-7"));
  for (const std::string Id : OddIds)
    CHECK_FALSE(Decode(Id));
  CHECK_FALSE(Decode(std::string(MaxNameLength + 1, 'i')));
}

TEST_CASE("a record can be encoded whatever its names are") {
  node_record Record{"n\xff", 5,       "z\xe1", {"10.0.0.1", 7000},
                     "s\xc3", "i\xc0", 65};
  Record.Departed = instance_run{"i\xff", 1};
  CHECK_NOTHROW(Record.encoded());
}

TEST_CASE("odd entries of another writer don't end the tasks that follow the "
          "store, and the entries behind them are read") {
  const endpoint Address = findFreeEndpoint();
  stand_in::kv_store Server{Address};
  const auto Adapter = makeUsersPlatform(Address);
  const std::string Prefix(store_synchronizer::RecordPrefix);
  int Number = 0;
  const auto LeaveOddEntries = [&] {
    for (const std::string &Value : oddValues())
      Server.put(Prefix + "odd-" + std::to_string(++Number), Value);
    Server.put(Prefix + "odd\x7f \xc3\xa9", recordOf("other"));
    Server.put(Prefix, recordOf(""));
  };
  LeaveOddEntries();
  Server.put(Prefix + "sound-1", recordOf("sound-1"));
  Server.put(Adapter->configKey(), std::string(500000, '['));
  Server.put(Adapter->configKey() + "-of-others", "\xff");

  asio::io_context Loop;
  const auto Work = asio::make_work_guard(Loop);
  metrics_registry Metrics;
  recording_listener Listener;
  fault_guard Faults(Metrics);
  store_synchronizer Store(*Adapter, Loop, "own", Metrics, Faults, Listener);
  const auto Tasks = Store.tasks();
  const auto AwaitOnLoop = [&](const auto &Condition) {
    for (int Step = 0; Step < 500 && !Condition(); ++Step) {
      Loop.restart();
      Loop.run_for(std::chrono::milliseconds(20));
    }
    return Condition();
  };
  Tasks->start();
  CHECK(AwaitOnLoop([&] { return !Listener.Listed.empty(); }));
  CHECK(Listener.Listed == std::vector<std::string>{"sound-1"});

  LeaveOddEntries();
  Server.put(Prefix + "sound-2", recordOf("sound-2"));
  for (const std::string &Value : oddValues())
    Server.put(Adapter->configKey(), Value);
  Server.put(Adapter->configKey(), configOf(7));
  CHECK(AwaitOnLoop(
      [&] { return !Listener.Changed.empty() && !Listener.Configs.empty(); }));
  CHECK(Listener.Changed == std::vector<std::string>{"sound-2"});
  CHECK(Listener.Configs == std::vector<std::uint64_t>{7});
  Adapter->store().interrupt();
  Tasks->stop();
}

TEST_CASE("a configuration that could not be passed on to other nodes is "
          "refused") {
  const auto Decode = [](const std::string &Name, const std::string &Host,
                         const std::string &Service) {
    return Platform
        ->decodeConfig(
            R"({"version":"r1","resources":[{"entry_kind":"routes","metadata":)"
            R"({"name":")" +
            Name + R"("},"spec":{"host":")" + Host +
            R"(","prefix":"/p/","kind":"idempotent","timeout_ms":1000,)"
            R"("service":")" +
            Service + R"("}}]})")
        .has_value();
  };
  const std::string Long(MaxNameLength + 1, 'x');
  CHECK(Decode("r", "h", "s"));
  CHECK_FALSE(Decode(Long, "h", "s"));
  CHECK_FALSE(Decode("r", Long, "s"));
  CHECK_FALSE(Decode("r", "h", Long));
  CHECK_FALSE(Decode("r", "h", R"(\r\nX: y)"));
  std::string Deep = R"({"version":"r1","resources":[],"x":)";
  Deep += std::string(100000, '[') + std::string(100000, ']') + "}";
  CHECK_FALSE(Platform->decodeConfig(Deep));
}
