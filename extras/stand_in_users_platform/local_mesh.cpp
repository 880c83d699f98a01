#include "stand_in_users_platform/local_mesh.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <stdlib.h>

namespace clementine::stand_in {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t OutboundPort = 22001;
constexpr std::uint16_t ControlPort = 22002;
constexpr std::uint16_t ReadyPort = 22003;
constexpr std::uint16_t PeerPort = 22004;
constexpr std::uint16_t MetricsPort = 22005;
constexpr std::uint16_t InstancePort = 22010;
constexpr std::uint16_t StorePort = 22020;
/// The port of a proxy, relative to the port that it forwards to.
constexpr std::uint16_t ProxyOffset = 100;

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

bool await(const std::function<bool()> &Condition) {
  const auto End = std::chrono::steady_clock::now() + 30s;
  while (std::chrono::steady_clock::now() < End) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(20ms);
  }
  return Condition();
}

local_mesh::local_mesh(settings Given) : Settings(std::move(Given)) {
  Store = std::make_unique<kv_store>(storeAddress());
  char Pattern[] = "/tmp/clementine-mesh-XXXXXX";
  if (mkdtemp(Pattern) == nullptr)
    throw std::runtime_error(
        "cannot create a temporary directory for the mesh");
  Folder = Pattern;
  int Number = 0;
  for (const char *Service : {"front", "desk", "post", "archive"})
    for (const std::string &Zone : Settings.Zones) {
      const std::string Name = std::string(Service) + "-" + Zone;
      machine &Machine = Machines[Name];
      Machine.Host = Settings.Network + std::to_string(++Number);
      Machine.Zone = Zone;
      Machine.Service = Service;
      Names.push_back(Name);
      if (Settings.HasProxies)
        addProxies(Machine);
    }
  configure(1, {{"/extra/", "archive"}});
  for (const std::string &Name : Names) {
    startNode(Name);
    startInstance(Name, 1);
  }
}

local_mesh::~local_mesh() {
  // Instances call their nodes, so they are destroyed first.
  for (auto &[Name, Machine] : Machines)
    Machine.Instance.reset();
  for (auto &[Name, Machine] : Machines)
    if (Machine.Node)
      Machine.Node->kill();
  std::filesystem::remove_all(Folder);
}

endpoint local_mesh::storeAddress() const {
  return {Settings.Network + "250", StorePort};
}

void local_mesh::addProxies(machine &Machine) {
  const auto MakeProxy = [&](const endpoint &Target) {
    return std::make_unique<fault_proxy>(
        endpoint{Machine.Host,
                 static_cast<std::uint16_t>(Target.Port + ProxyOffset)},
        Target);
  };
  const std::array<endpoint, 3> Targets = {
      endpoint{Machine.Host, PeerPort}, storeAddress(),
      endpoint{Machine.Host, InstancePort}};
  for (std::size_t Point = 0; Point < Targets.size(); ++Point)
    Machine.Proxies.at(Point) = MakeProxy(Targets.at(Point));
}

endpoint local_mesh::advertisedAddress(const machine &Machine,
                                       std::uint16_t Port) const {
  return {Machine.Host, static_cast<std::uint16_t>(
                            Settings.HasProxies ? Port + ProxyOffset : Port)};
}

void local_mesh::configure(unsigned Version, const extra_routes &Extra) {
  json Resources =
      json::array({routeOf("front", "/front/", "front", "idempotent"),
                   routeOf("book", "/book/", "front", "non_idempotent"),
                   routeOf("desk", "/desk/", "desk", "idempotent"),
                   routeOf("post", "/post/", "post", "idempotent"),
                   routeOf("archive", "/archive/", "archive", "idempotent")});
  for (const auto &[Prefix, Service] : Extra)
    Resources.push_back(
        routeOf("extra" + Prefix, Prefix, Service, "idempotent"));
  Store->put("op/config", json{{"version", "r" + std::to_string(Version)},
                               {"resources", Resources}}
                              .dump());
}

std::string local_mesh::fileOf(const std::string &Machine,
                               const char *Extension) const {
  return Folder + "/" + Machine + Extension;
}

void local_mesh::startNode(const std::string &Name) {
  machine &Machine = Machines.at(Name);
  const auto At = [&](std::uint16_t Port) {
    return endpoint{Machine.Host, Port}.text();
  };
  const endpoint StoreEndpoint = Settings.HasProxies
                                     ? advertisedAddress(Machine, StorePort)
                                     : storeAddress();
  const std::string File = fileOf(Name, ".ini");
  std::ofstream(File) << "[node]\nname = " << Name
                      << "\nzone = " << Machine.Zone
                      << "\nstop_grace = " << Settings.StopGrace.count() << "s"
                      << "\n[instance]\nservice = " << Machine.Service
                      << "\naddress = "
                      << advertisedAddress(Machine, InstancePort).text()
                      << "\n[listen]\noutbound = " << At(OutboundPort)
                      << "\ncontrol = " << At(ControlPort)
                      << "\nready = " << At(ReadyPort)
                      << "\npeer = " << At(PeerPort) << "\npeer_advertised = "
                      << advertisedAddress(Machine, PeerPort).text()
                      << "\nmetrics = " << At(MetricsPort)
                      << "\n[store]\naddress = " << StoreEndpoint.text()
                      << "\n";
  Machine.Node.reset();
  Machine.Node = std::make_unique<child_process>(
      std::string(CLEMENTINE_BINARY_DIR) + "/clementined",
      std::vector<std::string>{"--proxy", "--settings", File},
      fileOf(Name, ".log"));
}

void local_mesh::startInstance(const std::string &Name,
                               std::int64_t StartedAt) {
  machine &Machine = Machines.at(Name);
  Machine.Instance.reset();
  app_instance_settings Instance;
  Instance.Id = Name + "-" + std::to_string(StartedAt);
  Instance.Service = Machine.Service;
  Instance.Zone = Machine.Zone;
  Instance.Listen = {Machine.Host, InstancePort};
  Instance.Address = advertisedAddress(Machine, InstancePort);
  Instance.Outbound = {Machine.Host, OutboundPort};
  Instance.Control = {Machine.Host, ControlPort};
  Instance.StartedAt = StartedAt;
  Instance.ServiceTime = Settings.ServiceTime;
  if (Machine.Service == "front")
    Instance.Calls = {{"mesh.example", "/desk/"}};
  else if (Machine.Service == "desk")
    Instance.Calls = {{"mesh.example", "/post/"}};
  Machine.Instance = std::make_unique<app_instance>(std::move(Instance), Runs);
}

void local_mesh::endInstance(const std::string &Name) {
  Machines.at(Name).Instance.reset();
}

child_process &local_mesh::node(const std::string &Machine) {
  return *Machines.at(Machine).Node;
}

app_instance &local_mesh::instance(const std::string &Machine) {
  return *Machines.at(Machine).Instance;
}

fault_proxy &local_mesh::proxy(const std::string &Machine, fault_point Point) {
  return *Machines.at(Machine).Proxies.at(static_cast<std::size_t>(Point));
}

const std::string &local_mesh::serviceOf(const std::string &Machine) const {
  return Machines.at(Machine).Service;
}

endpoint local_mesh::outboundOf(const std::string &Machine) const {
  return {Machines.at(Machine).Host, OutboundPort};
}

std::string local_mesh::explain(const std::string &RequestId) const {
  std::vector<std::string> Arguments = {"explain-request", RequestId};
  for (const std::string &Name : Names)
    Arguments.push_back(fileOf(Name, ".log"));
  child_process Tool(std::string(CLEMENTINE_BINARY_DIR) + "/clementinectl",
                     Arguments, fileOf("explanation", ".log"));
  await([&] { return Tool.exitCode().has_value(); });
  return logOf("explanation");
}

std::string local_mesh::logOf(const std::string &Machine) const {
  std::ostringstream Text;
  Text << std::ifstream(fileOf(Machine, ".log")).rdbuf();
  return Text.str();
}

http_client::answer local_mesh::call(const std::string &Machine,
                                     const std::string &Path,
                                     const std::string &Method) {
  const unsigned Number = ++LastCall;
  return call(Machine, Path, Method, idOf(Number),
              http_client::connection::SingleUse);
}

http_client::answer local_mesh::call(const std::string &Machine,
                                     const std::string &Path,
                                     const std::string &Method,
                                     const std::string &Id,
                                     http_client::connection Connection) {
  const endpoint Node = outboundOf(Machine);
  return Client
      .send(
          Method, "http://" + Node.text() + Path,
          {"Host: mesh.example", "X-Request-Id: " + Id, "X-Deadline-Ms: 5000"},
          Method == "POST" ? "body" : "", 6s, Connection)
      .value_or(http_client::answer());
}

bool local_mesh::isReady(const std::string &Machine) {
  const endpoint Ready{Machines.at(Machine).Host, ReadyPort};
  const auto Answer =
      Client.send("GET", "http://" + Ready.text() + "/clementinecove/readiness",
                  {}, "", 1s, http_client::connection::SingleUse);
  return Answer && Answer->Status == 200;
}

bool local_mesh::awaitReady() {
  return await([this] {
    for (const std::string &Name : Names)
      if (!isReady(Name) || call(Name, "/front/1").Status != 200 ||
          call(Name, "/archive/1").Status != 200)
        return false;
    return true;
  });
}

} // namespace clementine::stand_in
