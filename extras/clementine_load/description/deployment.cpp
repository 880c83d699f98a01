#include "clementine_load/description/deployment.h"

#include "clementine_load/description/section_reader.h"

#include <sstream>

namespace clementine::load {

namespace {

using fault = description_error::fault;

constexpr std::uint16_t PeerOffset = 1;
constexpr std::uint16_t GossipOffset = 2;
constexpr std::uint16_t AdminOffset = 3;
constexpr std::uint16_t UpstreamOffset = 10;
constexpr std::uint16_t PlatformOffset = 20;
constexpr std::uint64_t LowestPort = 1024;
constexpr std::uint64_t HighestPort = 60000;

bool readDataCentres(std::string_view Text, deployment &Deployment) {
  for (const std::string_view Name : splitList(Text))
    Deployment.DataCentres.emplace_back(Name);
  return !Deployment.DataCentres.empty();
}

/// Reads `OPERATION:SERVICE/OPERATION[, ..]`.
bool readCalls(std::string_view Text, service_description &Service) {
  for (const std::string_view Element : splitList(Text)) {
    const std::size_t Colon = Element.find(':');
    if (Colon == std::string_view::npos || Colon == 0)
      return false;
    operation_name Target;
    if (!splitOperation(Element.substr(Colon + 1), Target.Service,
                        Target.Operation))
      return false;
    Service.Calls[std::string(Element.substr(0, Colon))].push_back(Target);
  }
  return true;
}

bool readNotRepeatable(std::string_view Text, service_description &Service) {
  for (const std::string_view Name : splitList(Text))
    Service.NotRepeatable.emplace(Name);
  return true;
}

const std::vector<key_rule<deployment>> DeploymentRules = {
    memberRule("name", true, &deployment::Name),
    {"data_centres", true, readDataCentres},
    memberRule("base_port", false, &deployment::BasePort),
    memberRule("bundle", true, &deployment::Bundle)};

const std::vector<key_rule<service_description>> ServiceRules = {
    memberRule("name", true, &service_description::Name),
    memberRule("instances", true, &service_description::Instances),
    memberRule("slots", true, &service_description::Slots),
    memberRule("connections", true, &service_description::Connections),
    memberRule("service_time", true, &service_description::ServiceTime),
    memberRule("spread", false, &service_description::Spread),
    {"calls", false, readCalls},
    {"not_repeatable", false, readNotRepeatable}};

std::optional<description_error> check(const deployment &Deployment) {
  if (Deployment.BasePort < LowestPort || Deployment.BasePort > HighestPort)
    return description_error{fault::Inconsistent, 0, "deployment", "base_port",
                             std::to_string(Deployment.BasePort)};
  for (const service_description &Service : Deployment.Services)
    for (const auto &[Operation, Calls] : Service.Calls)
      for (const operation_name &Call : Calls)
        if (Deployment.find(Call.Service) == nullptr)
          return description_error{fault::Inconsistent, 0, Service.Name,
                                   "calls", Call.text()};
  return std::nullopt;
}

endpoint endpointAt(const deployment &Deployment, const std::string &Host,
                    std::uint16_t Offset) {
  return {Host, static_cast<std::uint16_t>(Deployment.BasePort + Offset)};
}

} // namespace

std::vector<instance_description> deployment::instances() const {
  std::vector<instance_description> Instances;
  std::vector<unsigned> CountIn(DataCentres.size(), 0);
  for (std::size_t Service = 0; Service < Services.size(); ++Service)
    for (std::uint64_t Number = 1; Number <= Services[Service].Instances;
         ++Number) {
      const std::size_t DataCentre = Instances.size() % DataCentres.size();
      const unsigned HostNumber = ++CountIn[DataCentre];
      Instances.push_back(
          {Services[Service].Name + "-" + std::to_string(Number), Service,
           DataCentre,
           "127.0." + std::to_string(DataCentre + 1) + "." +
               std::to_string(HostNumber)});
    }
  return Instances;
}

const service_description *deployment::find(const std::string &Service) const {
  for (const service_description &Each : Services)
    if (Each.Name == Service)
      return &Each;
  return nullptr;
}

endpoint deployment::callEndpoint(const instance_description &Instance) const {
  return endpointAt(*this, Instance.Host, 0);
}

endpoint deployment::peerEndpoint(const instance_description &Instance) const {
  return endpointAt(*this, Instance.Host, PeerOffset);
}

endpoint
deployment::gossipEndpoint(const instance_description &Instance) const {
  return endpointAt(*this, Instance.Host, GossipOffset);
}

endpoint deployment::adminEndpoint(const instance_description &Instance) const {
  return endpointAt(*this, Instance.Host, AdminOffset);
}

endpoint
deployment::upstreamEndpoint(const instance_description &Instance) const {
  return endpointAt(*this, Instance.Host, UpstreamOffset);
}

endpoint deployment::platformEndpoint() const {
  return endpointAt(*this, "127.0.0.1", PlatformOffset);
}

result<deployment, description_error> readDeployment(std::string_view Text) {
  const auto Document = readDocument(Text);
  if (!Document)
    return Document.error();
  deployment Deployment;
  std::optional<description_error> Failed;
  for (const ini_section &Section : Document.value().Sections) {
    if (Section.Name == "deployment") {
      Failed =
          readSection(Document.value(), Section, DeploymentRules, Deployment);
    } else if (Section.Name.starts_with("service_")) {
      service_description Service;
      Failed = readSection(Document.value(), Section, ServiceRules, Service);
      Deployment.Services.push_back(std::move(Service));
    } else {
      Failed = description_error{fault::UnknownSection, Section.Line,
                                 Section.Name, "", ""};
    }
    if (Failed)
      return *Failed;
  }
  if (Deployment.Name.empty() || Deployment.Services.empty())
    return description_error{fault::MissingKey, 0, "deployment", "name", ""};
  Failed = check(Deployment);
  if (Failed)
    return *Failed;
  return Deployment;
}

std::string nodeSettings(const deployment &Deployment,
                         const instance_description &Instance,
                         const node_keys &Keys) {
  const service_description &Service = Deployment.Services[Instance.Service];
  std::ostringstream Text;
  Text << "[node]\nname = " << Instance.Name
       << "\ndata_centre = " << Deployment.DataCentres[Instance.DataCentre]
       << "\nhttp_listen = " << Deployment.callEndpoint(Instance).text()
       << "\npeer_listen = " << Deployment.peerEndpoint(Instance).text()
       << "\ngossip_listen = " << Deployment.gossipEndpoint(Instance).text()
       << "\nadmin_listen = " << Deployment.adminEndpoint(Instance).text()
       << "\n\n[upstream]\nservice = " << Service.Name
       << "\nconnections = " << Service.Connections
       << "\n\n[platform]\nurl = http://"
       << Deployment.platformEndpoint().text()
       << "\n\n[security]\npeer_keys = " << Keys.PeerKey
       << "\n\n[bundle]\ntrusted_keys = " << Keys.TrustedKey
       << "\n\n[membership]\nseeds = ";
  // One seed in each data centre, so that a node can join without the platform.
  std::set<std::size_t> Seeded;
  for (const instance_description &Seed : Deployment.instances()) {
    if (Seed.Name == Instance.Name || !Seeded.insert(Seed.DataCentre).second)
      continue;
    Text << (Seeded.size() > 1 ? ", " : "")
         << Deployment.gossipEndpoint(Seed).text();
  }
  Text << '\n';
  return Text.str();
}

} // namespace clementine::load
