#include "mesh.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <stdlib.h>

namespace clementine::test {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t OutboundPort = 22001;
constexpr std::uint16_t ControlPort = 22002;
constexpr std::uint16_t ReadyPort = 22003;
constexpr std::uint16_t PeerPort = 22004;
constexpr std::uint16_t MetricsPort = 22005;
constexpr std::uint16_t InstancePort = 22010;
const endpoint StoreAddress{"127.0.11.250", 22020};

json routeOf(const std::string &Name, const std::string &Prefix,
             const std::string &Service, const std::string &Kind) {
  return {{"entry_kind", "routes"},
          {"metadata", {{"name", Name}}},
          {"spec",
           {{"host", "mesh.example"},
            {"prefix", Prefix},
            {"kind", Kind},
            {"timeout_ms", 3000},
            {"target_latency_ms", 1000},
            {"priority", 0},
            {"service", Service},
            {"max_attempts", 2}}}};
}

} // namespace

bool await(const std::function<bool()> &Holds) {
  const auto End = std::chrono::steady_clock::now() + 30s;
  while (std::chrono::steady_clock::now() < End) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(20ms);
  }
  return Holds();
}

mesh::mesh() : Store(std::make_unique<stand_in::kv_store>(StoreAddress)) {
  char Pattern[] = "/tmp/clementine-mesh-XXXXXX";
  if (mkdtemp(Pattern) == nullptr)
    throw std::runtime_error("no folder for the test");
  Folder = Pattern;
  int Number = 0;
  for (const char *Service : {"front", "desk", "post", "archive"})
    for (const char *Zone : {"east", "west", "north"}) {
      const std::string Name = std::string(Service) + "-" + Zone;
      machine &Machine = Machines[Name];
      Machine.Host = "127.0.11." + std::to_string(++Number);
      Machine.Zone = Zone;
      Machine.Service = Service;
      Names.push_back(Name);
    }
  configure(1, "archive");
  for (const std::string &Name : Names) {
    startNode(Name);
    startInstance(Name, 1);
  }
}

mesh::~mesh() {
  // Instances call their nodes, so they end first.
  for (auto &[Name, Machine] : Machines)
    Machine.Instance.reset();
  for (auto &[Name, Machine] : Machines)
    if (Machine.Node)
      Machine.Node->kill();
  std::filesystem::remove_all(Folder);
}

void mesh::configure(unsigned Version, const std::string &Extra) {
  json Resources =
      json::array({routeOf("front", "/front/", "front", "idempotent"),
                   routeOf("book", "/book/", "front", "non_idempotent"),
                   routeOf("desk", "/desk/", "desk", "idempotent"),
                   routeOf("post", "/post/", "post", "idempotent"),
                   routeOf("archive", "/archive/", "archive", "idempotent")});
  if (!Extra.empty())
    Resources.push_back(routeOf("extra", "/extra/", Extra, "idempotent"));
  Store->put("op/config", json{{"version", "r" + std::to_string(Version)},
                               {"resources", Resources}}
                              .dump());
}

std::string mesh::fileOf(const std::string &Machine, const char *Ending) const {
  return Folder + "/" + Machine + Ending;
}

void mesh::startNode(const std::string &Name) {
  machine &Machine = Machines.at(Name);
  const auto At = [&](std::uint16_t Port) {
    return endpoint{Machine.Host, Port}.text();
  };
  const std::string File = fileOf(Name, ".ini");
  std::ofstream(File) << "[node]\nname = " << Name
                      << "\nzone = " << Machine.Zone
                      << "\n[instance]\nservice = " << Machine.Service
                      << "\naddress = " << At(InstancePort)
                      << "\n[listen]\noutbound = " << At(OutboundPort)
                      << "\ncontrol = " << At(ControlPort)
                      << "\nready = " << At(ReadyPort)
                      << "\npeer = " << At(PeerPort)
                      << "\nmetrics = " << At(MetricsPort)
                      << "\n[store]\naddress = " << StoreAddress.text() << "\n";
  Machine.Node.reset();
  Machine.Node = std::make_unique<child_process>(
      std::string(CLEMENTINE_BINARY_DIR) + "/clementined",
      std::vector<std::string>{"--proxy", "--settings", File},
      fileOf(Name, ".log"));
}

void mesh::startInstance(const std::string &Name, std::int64_t StartedAt) {
  machine &Machine = Machines.at(Name);
  Machine.Instance.reset();
  stand_in::app_instance_settings Settings;
  Settings.Id = Name + "-" + std::to_string(StartedAt);
  Settings.Service = Machine.Service;
  Settings.Zone = Machine.Zone;
  Settings.Listen = {Machine.Host, InstancePort};
  Settings.Outbound = {Machine.Host, OutboundPort};
  Settings.Control = {Machine.Host, ControlPort};
  Settings.StartedAt = StartedAt;
  if (Machine.Service == "front")
    Settings.Calls = {{"mesh.example", "/desk/"}};
  else if (Machine.Service == "desk")
    Settings.Calls = {{"mesh.example", "/post/"}};
  Machine.Instance =
      std::make_unique<stand_in::app_instance>(std::move(Settings), Runs);
}

child_process &mesh::node(const std::string &Machine) {
  return *Machines.at(Machine).Node;
}

stand_in::app_instance &mesh::instance(const std::string &Machine) {
  return *Machines.at(Machine).Instance;
}

std::string mesh::logOf(const std::string &Machine) const {
  std::ostringstream Text;
  Text << std::ifstream(fileOf(Machine, ".log")).rdbuf();
  return Text.str();
}

stand_in::plain_answer mesh::call(const std::string &Machine,
                                  const std::string &Path,
                                  const std::string &Method) {
  ++LastCall;
  return stand_in::sendRequest(
      Method, {Machines.at(Machine).Host, OutboundPort}, Path,
      {"Host: mesh.example", "X-Request-Id: " + lastId(),
       "X-Deadline-Ms: 5000"},
      Method == "POST" ? "body" : "", 6s);
}

bool mesh::awaitReady() {
  return await([this] {
    for (const std::string &Name : Names) {
      const endpoint Ready{Machines.at(Name).Host, ReadyPort};
      if (stand_in::sendRequest("GET", Ready, "/clementinecove/readiness", {},
                                "", 1s)
                  .Status != 200 ||
          call(Name, "/front/1").Status != 200 ||
          call(Name, "/archive/1").Status != 200)
        return false;
    }
    return true;
  });
}

} // namespace clementine::test
