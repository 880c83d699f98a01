#include "clementine_soak/soak.h"

#include "clementine_soak/overlapping_clients.h"
#include "clementine_soak/soak_clients.h"
#include "clementine_soak/soak_faults.h"
#include "stand_in_users_platform/local_mesh.h"

#include <cstdio>
#include <filesystem>

namespace clementine::soak {

using stand_in::local_mesh;

namespace {

/// Every service must be available again within this time after the last fault.
constexpr std::chrono::seconds RecoveryTimeout{15};
constexpr long Ok = 200;

bool servesEverything(local_mesh &Mesh, unsigned Version) {
  const std::string Newest = "/v" + std::to_string(Version) + "/1";
  for (const std::string &Name : Mesh.machines())
    if (!Mesh.isReady(Name) || Mesh.call(Name, "/front/1").Status != Ok ||
        Mesh.call(Name, "/archive/1").Status != Ok ||
        (Version > 1 && Mesh.call(Name, Newest).Status != Ok))
      return false;
  return true;
}

void checkRecovery(local_mesh &Mesh, unsigned Version,
                   soak_findings &Findings) {
  const auto Start = std::chrono::steady_clock::now();
  while (!servesEverything(Mesh, Version))
    if (std::chrono::steady_clock::now() - Start > RecoveryTimeout)
      return Findings.add("recovery",
                          "not all requests are served, config version " +
                              std::to_string(Version));
}

void checkStillRunning(local_mesh &Mesh, soak_findings &Findings) {
  for (const std::string &Name : Mesh.machines())
    if (!Mesh.node(Name).isRunning() || Mesh.node(Name).exitCode())
      Findings.add("unexpected exit",
                   Name + " exited without being stopped, signal " +
                       std::to_string(Mesh.node(Name).terminationSignal()));
}

void keepLogs(const local_mesh &Mesh, const soak_settings &Settings) {
  namespace files = std::filesystem;
  const files::path Target = files::path(Settings.KeepLogs) /
                             ("seed-" + std::to_string(Settings.Seed));
  files::create_directories(Target);
  files::copy(Mesh.folder(), Target,
              files::copy_options::recursive |
                  files::copy_options::overwrite_existing);
}

} // namespace

std::vector<std::string> runSoak(const soak_settings &Settings) {
  soak_findings Findings;
  local_mesh::settings MeshSettings;
  MeshSettings.HasProxies = true;
  // Long enough that faults often occur while a request is running.
  MeshSettings.ServiceTime = std::chrono::milliseconds(30);
  MeshSettings.Network = Settings.Network;
  MeshSettings.Zones.clear();
  for (unsigned Zone = 0; Zone < Settings.Zones; ++Zone)
    MeshSettings.Zones.push_back("zone" + std::to_string(Zone));
  local_mesh Mesh(MeshSettings);
  if (!Mesh.awaitReady()) {
    Findings.add("start", "the mesh is not ready");
    if (!Settings.KeepLogs.empty())
      keepLogs(Mesh, Settings);
    return Findings.lines();
  }
  soak_clients Clients(Mesh, Findings, Settings.Seed, Settings.Clients);
  overlapping_clients Overlapping(Mesh, Findings, Settings.Seed,
                                  (Settings.Clients + 1) / 2);
  soak_faults Faults(Mesh, Findings, Settings.Seed);
  Faults.run(Settings.Duration);
  checkRecovery(Mesh, Faults.configVersion(), Findings);
  checkStillRunning(Mesh, Findings);
  Clients.stop();
  Overlapping.stop();
  Clients.checkRuns();
  std::printf("seed %llu answers",
              static_cast<unsigned long long>(Settings.Seed));
  for (const auto &[Status, Count] : Clients.statuses())
    std::printf(" %ld: %d", Status, Count);
  std::printf(" overlapping: %d\n", Overlapping.answers());
  std::fflush(stdout);
  if (!Findings.lines().empty() && !Settings.KeepLogs.empty())
    keepLogs(Mesh, Settings);
  return Findings.lines();
}

} // namespace clementine::soak
