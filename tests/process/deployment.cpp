#include "deployment.h"

#include "clementine_bundle/clementine_bundle.h"
#include "clementine_platform/clementine_platform.h"

#include <algorithm>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <stdlib.h>

namespace clementine::test {

namespace {

using namespace std::chrono_literals;
using stand_in::http_client;

constexpr int HttpPort = 21000;
constexpr int PeerPort = 21001;
constexpr int GossipPort = 21002;
constexpr int AdminPort = 21003;
constexpr int UpstreamPort = 21010;
constexpr int PlatformPort = 21020;
constexpr const char *PlatformHost = "127.0.9.1";
constexpr const char *OwnerName = "test-owner";

std::string hostPort(const std::string &Host, int Port) {
  return Host + ":" + std::to_string(Port);
}

std::string program(const std::string &Name) {
  return std::string(CLEMENTINE_BINARY_DIR) + "/" + Name;
}

/// Signs all test bundles.
const signing_key &ownerKey() {
  static const signing_key Key = signing_key::generate();
  return Key;
}

} // namespace

bool waitUntil(const std::function<bool()> &Condition,
               std::chrono::seconds Timeout) {
  const auto End = std::chrono::steady_clock::now() + Timeout;
  while (std::chrono::steady_clock::now() < End) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(20ms);
  }
  return false;
}

deployment::deployment(std::vector<vm_config> Configs)
    : Configs(std::move(Configs)) {
  std::string Template = "/tmp/clementine-process-XXXXXX";
  if (mkdtemp(Template.data()) == nullptr)
    throw std::runtime_error("cannot create a folder for the test's files");
  Folder = Template;
  Platform = std::make_unique<child_process>(
      program("stand_in_platform"),
      std::vector<std::string>{"--listen",
                               hostPort(PlatformHost, PlatformPort)},
      logFile("platform"));
  waitUntil(
      [this] {
        const auto Answer = Client.get(platformUrl() + "/stand-in/counts", 1s);
        return Answer && Answer->Status == 200;
      },
      10s);
  for (const vm_config &Config : this->Configs)
    startVm(Config.Name);
}

deployment::~deployment() {
  Nodes.clear();
  Upstreams.clear();
  Platform.reset();
  const std::string Remove = "rm -rf '" + Folder + "'";
  if (std::uncaught_exceptions() == 0 && std::system(Remove.c_str()) != 0)
    std::fprintf(stderr, "could not remove %s\n", Folder.c_str());
}

std::string deployment::platformUrl() const {
  return "http://" + hostPort(PlatformHost, PlatformPort);
}

std::string deployment::logFile(const std::string &Name) const {
  return Folder + "/" + Name + ".log";
}

const vm_config &deployment::configOf(const std::string &Vm) const {
  return *std::find_if(
      Configs.begin(), Configs.end(),
      [&](const vm_config &Config) { return Config.Name == Vm; });
}

std::string deployment::writeSettings(const vm_config &Config) const {
  std::string File = Folder + "/" + Config.Name + ".ini";
  std::ofstream Ini(File);
  Ini << "[node]\nname = " << Config.Name
      << "\ndata_centre = " << Config.DataCentre
      << "\nhttp_listen = " << hostPort(Config.Host, HttpPort)
      << "\npeer_listen = " << hostPort(Config.Host, PeerPort)
      << "\ngossip_listen = " << hostPort(Config.Host, GossipPort)
      << "\nadmin_listen = " << hostPort(Config.Host, AdminPort)
      << "\n[upstream]\nservice = " << Config.Service
      << "\nconnections = 100\n[platform]\nurl = " << platformUrl()
      << "\n[security]\npeer_keys = "
         "test:AQIDBAUGBwgJCgsMDQ4PEBESExQVFhcYGRobHB0eHyA=\n"
      << "[bundle]\ntrusted_keys = " << OwnerName << ":"
      << encodeBase64(std::string_view(reinterpret_cast<const char *>(
                                           ownerKey().publicKey().Bytes.data()),
                                       PublicKeyBytes))
      << "\n[stop]\ngrace = 20s\n[membership]\nseeds = ";
  std::string Separator;
  for (const vm_config &Other : Configs) {
    Ini << Separator << hostPort(Other.Host, GossipPort);
    Separator = ", ";
  }
  Ini << "\n";
  return File;
}

void deployment::startVm(const std::string &Name) {
  const vm_config &Config = configOf(Name);
  Nodes[Name] = std::make_unique<child_process>(
      program("clementined"),
      std::vector<std::string>{"--settings", writeSettings(Config)},
      logFile(Name));
  std::vector<std::string> Arguments = {
      "--service",      Config.Service,
      "--listen",       hostPort(Config.Host, UpstreamPort),
      "--node",         "http://" + hostPort(Config.Host, HttpPort),
      "--service-time", std::to_string(Config.ServiceTimeMilliseconds),
      "--spread",       "0",
      "--journal",      Folder + "/" + Name + ".runs"};
  if (!Config.Calls.empty()) {
    Arguments.emplace_back("--calls");
    Arguments.push_back(Config.Calls);
  }
  Upstreams[Name] = std::make_unique<child_process>(
      program("stand_in_upstream"), Arguments, logFile(Name + "-upstream"));
}

void deployment::acceptBundle(const std::string &Text) {
  auto Content = bundle::parse(Text);
  if (Content.has_error())
    throw std::runtime_error(Content.error().front().text());
  trusted_owners Owners;
  Owners.add(OwnerName, ownerKey().publicKey());
  etcd_platform_store Store(platformUrl(), {});
  signed_bundle Signed{{}, Content.value()};
  Signed.Head.Version = ++AcceptedVersion;
  Signed.Head.Digest = Signed.Content.digest();
  Signed.Head.Owner = OwnerName;
  Signed.Head.WriteId.Bytes.fill(static_cast<std::uint8_t>(AcceptedVersion));
  Signed.Head.Reason = "test";
  Signed.Head.sign(ownerKey());
  bundle_publisher Publisher(Store, Owners, {});
  const auto Published = Publisher.publish(Signed);
  if (Published.has_error())
    throw std::runtime_error(Published.error().text());
}

bool deployment::waitUntilReady(const std::string &Caller,
                                const std::string &Target) {
  return std::all_of(
      Configs.begin(), Configs.end(), [&](const vm_config &Config) {
        return waitUntil(
            [&] {
              return call(Config.Name, Target, Caller, {}, "ready").Status ==
                     200;
            },
            60s);
      });
}

http_result deployment::call(const std::string &Vm, const std::string &Target,
                             const std::string &Caller,
                             const std::vector<std::string> &MoreHeaders,
                             const std::string &Body) const {
  std::vector<std::string> Headers = MoreHeaders;
  Headers.push_back("Clementine-Caller: " + Caller);
  return Client
      .send("POST",
            "http://" + hostPort(configOf(Vm).Host, HttpPort) + "/call/" +
                Target,
            Headers, Body, 30s, http_client::connection::SingleUse)
      .value_or(http_result());
}

int deployment::countRuns(const std::string &Body) const {
  int Started = 0;
  for (const vm_config &Config : Configs) {
    std::ifstream Journal(Folder + "/" + Config.Name + ".runs");
    for (std::string Line; std::getline(Journal, Line);)
      if (Line.rfind("begin", 0) == 0 && Line.find(Body) != std::string::npos)
        ++Started;
  }
  return Started;
}

} // namespace clementine::test
