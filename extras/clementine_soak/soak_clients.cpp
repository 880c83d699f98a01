#include "clementine_soak/soak_clients.h"

#include <array>
#include <random>

namespace clementine::soak {

using namespace std::chrono_literals;
using connection = stand_in::http_client::connection;

namespace {

constexpr long Ok = 200;
constexpr std::chrono::milliseconds PauseBetweenRequests{10};
/// The routes' time limit of 3 s plus a margin for a busy machine.
constexpr std::chrono::milliseconds AnswerTimeLimit{4500};

struct request_kind {
  const char *Path;
  const char *Method;
  /// The service that handles the request.
  const char *Service;
};

constexpr std::array<request_kind, 4> Kinds = {{
    {"/front/1", "GET", "front"},
    {"/book/1", "POST", "front"},
    {"/book/2", "POST", "front"},
    {"/archive/1", "GET", "archive"},
}};

/// @returns whether the status guarantees that the request has not run and
/// never will.
bool guaranteesNotRun(long Status) {
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
    // libcurl itself may send a GET twice on a reused connection.
    const connection Connection = std::string_view(Kind.Method) == "POST"
                                      ? connection::Persistent
                                      : connection::SingleUse;
    const auto Start = std::chrono::steady_clock::now();
    const auto Answer =
        Mesh.call(Machine, Kind.Path, Kind.Method, Id, Connection);
    checkAnswer(Id, Kind.Path, Kind.Method, Answer,
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now() - Start));
    std::this_thread::sleep_for(PauseBetweenRequests);
  }
}

void soak_clients::checkAnswer(const std::string &Id, const std::string &Path,
                               const std::string &Method,
                               const stand_in::http_client::answer &Answer,
                               std::chrono::milliseconds Took) {
  {
    const std::lock_guard Lock(Mutex);
    Sent.push_back({Id, Answer.Status});
  }
  if (Answer.Status == 0)
    return;
  // Allows 2 s more, since a paused node answers late.
  if (Took > AnswerTimeLimit + 2s)
    Findings.add("time limit", Id + " took " + std::to_string(Took.count()) +
                                   " ms, status " +
                                   std::to_string(Answer.Status));
  if (Answer.Status == Ok) {
    const std::string Service = Path == "/archive/1" ? "archive" : "front";
    const std::string Begin = Service + " ran " + Id + " from ";
    const std::string End = Method == "POST" ? ": body" : ": ";
    if (!Answer.Body.starts_with(Begin) || !Answer.Body.ends_with(End))
      Findings.add("complete answer", Id + " received the body " + Answer.Body);
    if (!Answer.Headers.contains("X-Response-Signature"))
      Findings.add("complete answer", Id + " received no X-Response-Signature");
    if (Mesh.Runs.of(Id) == 0)
      Findings.add("complete answer", Id + " was answered but never ran");
  }
  if (Answer.Status == 404 || Answer.Status == 400)
    Findings.add("valid requests",
                 Id + " received status " + std::to_string(Answer.Status));
}

void soak_clients::checkRuns() {
  const std::lock_guard Lock(Mutex);
  for (const sent_request &Each : Sent)
    if (guaranteesNotRun(Each.Status) && Mesh.Runs.of(Each.Id) > 0)
      Findings.add("not run", Each.Id + " was answered with " +
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
