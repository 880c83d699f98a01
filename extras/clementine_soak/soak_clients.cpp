#include "clementine_soak/soak_clients.h"

#include <array>
#include <random>

namespace clementine::soak {

using namespace std::chrono_literals;
using connection = stand_in::http_client::connection;

namespace {

constexpr long Ok = 200;
constexpr std::chrono::milliseconds Pause{10};
/// The routes' time limit of 3 s, and the margin of a busy machine.
constexpr std::chrono::milliseconds LongestWait{4500};

struct request_kind {
  const char *Path;
  const char *Method;
  /// The service that answers.
  const char *Service;
};

constexpr std::array<request_kind, 4> Kinds = {{
    {"/front/1", "GET", "front"},
    {"/book/1", "POST", "front"},
    {"/book/2", "POST", "front"},
    {"/archive/1", "GET", "archive"},
}};

/// @returns whether the status promises that the request has not run and never
/// will.
bool isPromise(long Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

soak_clients::soak_clients(stand_in::local_mesh &Mesh, soak_findings &Findings,
                           std::uint64_t Seed, unsigned Count)
    : Mesh(Mesh), Findings(Findings) {
  for (unsigned Number = 0; Number < Count; ++Number)
    Threads.emplace_back(
        [this, Seed, Number] { sendUntilStopped(Seed + Number, Number); });
}

soak_clients::~soak_clients() { stop(); }

void soak_clients::stop() {
  Stopping = true;
  for (std::thread &Each : Threads)
    Each.join();
  Threads.clear();
}

void soak_clients::sendUntilStopped(std::uint64_t Seed, unsigned Number) {
  std::mt19937_64 Random(Seed);
  const auto &Machines = Mesh.machines();
  for (unsigned Count = 0; !Stopping; ++Count) {
    const std::string &Machine = Machines[Random() % Machines.size()];
    const request_kind &Kind = Kinds[Random() % Kinds.size()];
    const std::string Id =
        "soak-" + std::to_string(Number) + "-" + std::to_string(Count);
    // A GET on a kept connection may be sent twice by the library itself.
    const connection Connection = std::string_view(Kind.Method) == "POST"
                                      ? connection::KeepAlive
                                      : connection::SingleUse;
    const auto Begun = std::chrono::steady_clock::now();
    const auto Answer =
        Mesh.call(Machine, Kind.Path, Kind.Method, Id, Connection);
    judge(Id, Kind.Path, Kind.Method, Answer,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::steady_clock::now() - Begun));
    std::this_thread::sleep_for(Pause);
  }
}

void soak_clients::judge(const std::string &Id, const std::string &Path,
                         const std::string &Method,
                         const stand_in::http_client::answer &Answer,
                         std::chrono::milliseconds Took) {
  {
    const std::lock_guard Lock(Mutex);
    Sent.push_back({Id, Answer.Status});
  }
  if (Answer.Status == 0)
    return;
  // A node that stood still answers late; the others may not.
  if (Took > LongestWait + 2s)
    Findings.add("time limit", Id + " took " + std::to_string(Took.count()) +
                                   " ms, status " +
                                   std::to_string(Answer.Status));
  if (Answer.Status == Ok) {
    const std::string Service = Path == "/archive/1" ? "archive" : "front";
    const std::string Begin = Service + " ran " + Id + " from ";
    const std::string End = Method == "POST" ? ": body" : ": ";
    if (!Answer.Body.starts_with(Begin) || !Answer.Body.ends_with(End))
      Findings.add("whole answer", Id + " got the body " + Answer.Body);
    if (!Answer.Headers.contains("X-Response-Signature"))
      Findings.add("whole answer", Id + " got no proof");
    if (Mesh.Runs.of(Id) == 0)
      Findings.add("whole answer", Id + " was never run");
  }
  if (Answer.Status == 404 || Answer.Status == 400)
    Findings.add("proper requests",
                 Id + " got " + std::to_string(Answer.Status));
}

void soak_clients::judgeRuns() {
  const std::lock_guard Lock(Mutex);
  for (const sent_request &Each : Sent)
    if (isPromise(Each.Status) && Mesh.Runs.of(Each.Id) > 0)
      Findings.add("not run", Each.Id + " was answered " +
                                  std::to_string(Each.Status) + " and ran");
  for (const std::string &Id : Mesh.Runs.repeated("POST"))
    Findings.add("at most once",
                 Id + " ran " + std::to_string(Mesh.Runs.of(Id)) + " times");
}

std::map<long, int> soak_clients::statuses() const {
  const std::lock_guard Lock(Mutex);
  std::map<long, int> Counts;
  for (const sent_request &Each : Sent)
    ++Counts[Each.Status];
  return Counts;
}

} // namespace clementine::soak
