#include "clementine_load/run/running_deployment.h"

#include "clementine_load/decisions/answer_check.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace clementine::load {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds ControlTimeout(2000);
constexpr milliseconds ProbeTimeout(4000);
constexpr milliseconds RetryPause(50);
constexpr int PlatformAttempts = 100;
constexpr long StatusOk = 200;

/// The time limit for a graceful stop, for the nodes and then for the other
/// processes.
constexpr seconds StopTimeout(20);

std::string upstreamName(const instance_description &Instance) {
  return Instance.Name + "-upstream";
}

std::string decimalMilliseconds(duration Span) {
  return std::to_string(
      std::chrono::duration<double, std::milli>(Span).count());
}

} // namespace

running_deployment::running_deployment(const deployment &Deployment,
                                       run_folders Folders, node_keys Keys,
                                       std::uint64_t Seed)
    : Deployment(Deployment), Folders(std::move(Folders)),
      Keys(std::move(Keys)), Seed(Seed), Instances(Deployment.instances()) {
  std::filesystem::create_directories(this->Folders.Work);
}

void running_deployment::startPlatform() {
  const std::string Listen = Deployment.platformEndpoint().text();
  if (!Processes.start(
          "platform",
          {Folders.Programs + "/stand_in_platform", "--listen", Listen},
          logOf("platform")))
    throw start_error("the stand-in platform could not be started");
  for (int Attempt = 0; Attempt < PlatformAttempts; ++Attempt) {
    const auto Answer =
        Client.get("http://" + Listen + "/stand-in/counts", ControlTimeout);
    if (Answer && Answer->Status == StatusOk)
      return;
    std::this_thread::sleep_for(RetryPause);
  }
  throw start_error("the stand-in platform does not respond on " + Listen);
}

void running_deployment::startInstances() {
  for (const instance_description &Instance : Instances)
    startNode(Instance);
  for (const instance_description &Instance : Instances)
    startUpstream(Instance);
}

void running_deployment::startUpstream(const instance_description &Instance) {
  const service_description &Service = Deployment.Services[Instance.Service];
  std::filesystem::remove(journalOf(Instance));
  std::vector<std::string> Command = {
      Folders.Programs + "/stand_in_upstream",
      "--service",
      Service.Name,
      "--listen",
      Deployment.upstreamEndpoint(Instance).text(),
      "--node",
      "http://" + Deployment.callEndpoint(Instance).text(),
      "--slots",
      std::to_string(Service.Slots),
      "--connections",
      std::to_string(Service.Connections),
      "--service-time",
      decimalMilliseconds(Service.ServiceTime),
      "--spread",
      std::to_string(Service.Spread.Value),
      "--seed",
      std::to_string(stableHash(Instance.Name) ^ Seed),
      "--journal",
      journalOf(Instance)};
  for (const auto &[Operation, Calls] : Service.Calls) {
    std::string Text = Operation + "=";
    for (const operation_name &Call : Calls)
      Text.append(Text.back() == '=' ? "" : ",").append(Call.text());
    Command.insert(Command.end(), {"--calls", Text});
  }
  const std::string Name = upstreamName(Instance);
  if (!Processes.start(Name, Command, logOf(Name)))
    throw start_error("stand_in_upstream could not be started");
}

void running_deployment::startNode(const instance_description &Instance) {
  const std::string Path = Folders.Work + "/" + Instance.Name + ".ini";
  std::ofstream File(Path);
  File << nodeSettings(Deployment, Instance, Keys) << Folders.ExtraSettings;
  File.close();
  if (!File)
    throw start_error("cannot write settings file: " + Path);
  if (!Processes.start(Instance.Name,
                       {Folders.Programs + "/clementined", "--settings", Path},
                       logOf(Instance.Name)))
    throw start_error("clementined could not be started");
}

std::string
running_deployment::awaitReady(const std::vector<load_stream> &Streams,
                               duration Timeout) {
  const instant End = std::chrono::steady_clock::now() + Timeout;
  const auto NodeUrls = nodeUrls();
  std::vector<std::string> Problems(NodeUrls.size());
  std::vector<std::thread> Probers;
  Probers.reserve(NodeUrls.size());
  for (std::size_t Index = 0; Index < NodeUrls.size(); ++Index)
    Probers.emplace_back([&, Index] {
      Problems[Index] = awaitNodeReady(NodeUrls[Index], Streams, End);
    });
  for (std::thread &Prober : Probers)
    Prober.join();
  for (const std::string &Problem : Problems)
    if (!Problem.empty())
      return Problem;
  return {};
}

std::string
running_deployment::awaitNodeReady(const std::string &NodeUrl,
                                   const std::vector<load_stream> &Streams,
                                   instant End) {
  for (const load_stream &Stream : Streams) {
    std::string Problem = probe(NodeUrl, Stream);
    while (!Problem.empty() && std::chrono::steady_clock::now() < End) {
      std::this_thread::sleep_for(RetryPause);
      Problem = probe(NodeUrl, Stream);
    }
    if (!Problem.empty())
      return Problem;
  }
  return {};
}

std::string running_deployment::probe(const std::string &NodeUrl,
                                      const load_stream &Stream) {
  const std::string Nonce = "ready" + std::to_string(++Probes);
  const auto Answer = Client.post(
      NodeUrl + "/call/" + Stream.Target.text(),
      {"Clementine-Caller: " + Stream.Caller, "Idempotency-Key: " + Nonce,
       "Clementine-Send: first", "Clementine-Timeout-Ms: 3000"},
      Nonce, ProbeTimeout);
  std::ostringstream Problem;
  Problem << NodeUrl << ' ' << Stream.Caller << ' ' << Stream.Target.text()
          << ": ";
  if (!Answer) {
    Problem << "no answer";
    return Problem.str();
  }
  if (classifyAnswer(Deployment, Stream.Target, Nonce,
                     {Answer->Status, Answer->Outcome, Answer->Body}) ==
      send_outcome::Succeeded)
    return {};
  Problem << Answer->Status << ' ' << Answer->Outcome << ' ' << Answer->Body;
  return Problem.str();
}

void running_deployment::apply(const scheduled_fault &Fault, bool IsBegin) {
  const std::string Platform = "http://" + Deployment.platformEndpoint().text();
  switch (Fault.Kind) {
  case fault_kind::PlatformDown:
    postFaults(Platform, IsBegin ? R"({"outage":"unavailable"})"
                                 : R"({"outage":"none"})");
    return;
  case fault_kind::PlatformSilent:
    postFaults(Platform,
               IsBegin ? R"({"outage":"silent"})" : R"({"outage":"none"})");
    return;
  case fault_kind::PlatformSlow:
    postFaults(Platform, "{\"delay_ms\":" +
                             std::to_string(IsBegin ? Fault.Value : 0) + "}");
    return;
  default:
    break;
  }
  for (const instance_description &Instance : Instances)
    if (Instance.Name == Fault.Target ||
        Deployment.Services[Instance.Service].Name == Fault.Target)
      applyToInstance(Fault, IsBegin, Instance);
}

void running_deployment::applyToInstance(const scheduled_fault &Fault,
                                         bool IsBegin,
                                         const instance_description &Instance) {
  const std::string Upstream =
      "http://" + Deployment.upstreamEndpoint(Instance).text();
  switch (Fault.Kind) {
  case fault_kind::Slow:
    postFaults(Upstream, "{\"slow_factor\":" +
                             std::to_string(IsBegin ? Fault.Value : 1) + "}");
    return;
  case fault_kind::Misreport:
    postFaults(Upstream, IsBegin
                             ? R"({"health_lies":true,"load_lies":true})"
                             : R"({"health_lies":false,"load_lies":false})");
    return;
  case fault_kind::Kill:
    if (!IsBegin)
      return;
    Processes.signal(Instance.Name, SIGKILL);
    Processes.signal(upstreamName(Instance), SIGKILL);
    return;
  case fault_kind::Pause:
    Processes.signal(Instance.Name, IsBegin ? SIGSTOP : SIGCONT);
    return;
  case fault_kind::Drain:
    if (IsBegin)
      (void)Client.post(Upstream + "/stand-in/drain", {}, "{}", ControlTimeout);
    return;
  default:
    return;
  }
}

std::vector<std::string> running_deployment::stop() {
  std::vector<std::string> Nodes;
  std::vector<std::string> Others;
  for (const instance_description &Instance : Instances) {
    Nodes.push_back(Instance.Name);
    Others.push_back(upstreamName(Instance));
  }
  Others.emplace_back("platform");
  auto Killed = Processes.stop(Nodes, StopTimeout);
  const auto More = Processes.stop(Others, StopTimeout);
  Killed.insert(Killed.end(), More.begin(), More.end());
  return Killed;
}

run_index running_deployment::readJournals(std::size_t &Malformed) const {
  run_index Runs;
  Malformed = 0;
  for (const instance_description &Instance : Instances) {
    std::ifstream Journal(journalOf(Instance));
    Malformed +=
        readJournal(Journal, Deployment.Services[Instance.Service].Name, Runs);
  }
  return Runs;
}

std::vector<std::string> running_deployment::nodeUrls() const {
  std::vector<std::string> NodeUrls;
  NodeUrls.reserve(Instances.size());
  for (const instance_description &Instance : Instances)
    NodeUrls.push_back("http://" + Deployment.callEndpoint(Instance).text());
  return NodeUrls;
}

std::string
running_deployment::journalOf(const instance_description &Instance) const {
  return Folders.Work + "/" + Instance.Name + ".journal";
}

std::string running_deployment::logOf(const std::string &Name) const {
  return Folders.Work + "/" + Name + ".log";
}

void running_deployment::postFaults(const std::string &BaseUrl,
                                    const std::string &Json) {
  (void)Client.post(BaseUrl + "/stand-in/faults", {}, Json, ControlTimeout);
}

} // namespace clementine::load
