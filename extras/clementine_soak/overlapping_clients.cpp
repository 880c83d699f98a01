#include "clementine_soak/overlapping_clients.h"

#include <boost/system/system_error.hpp>

#include <array>

namespace clementine::soak {

using namespace std::chrono_literals;
using stand_in::pipelining_client;

namespace {

constexpr long Ok = 200;
/// The routes' time limit of 3 s, plus the longest pause of a node and a margin
/// for a busy machine.
constexpr std::chrono::milliseconds AnswerTimeLimit{6500};
constexpr std::size_t MaxOverlapping = 8;
/// How many short header fields a client adds; all within max_header_bytes.
constexpr std::array<std::size_t, 4> HeaderFieldCounts = {0, 0, 300, 1100};
constexpr std::size_t FastReadBytes = 16384;
constexpr std::size_t SlowReadBytes = 20;
constexpr std::chrono::milliseconds PollInterval{2};
constexpr std::chrono::milliseconds ReconnectDelay{50};

std::string requestText(const std::string &Id, std::size_t HeaderFields) {
  std::string Text = "GET /archive/1 HTTP/1.1\r\nHost: mesh.example\r\n"
                     "X-Request-Id: " +
                     Id + "\r\nX-Deadline-Ms: 3000\r\n";
  for (std::size_t Field = 0; Field < HeaderFields; ++Field)
    Text += "a" + std::to_string(Field) + ": b\r\n";
  return Text + "\r\n";
}

} // namespace

overlapping_clients::overlapping_clients(stand_in::local_mesh &Mesh,
                                         soak_findings &Findings,
                                         std::uint64_t Seed, unsigned Count)
    : Mesh(Mesh), Findings(Findings) {
  for (unsigned Number = 0; Number < Count; ++Number)
    Threads.emplace_back(
        [this, Seed, Number] { sendUntilStopped(Seed + Number, Number); });
}

overlapping_clients::~overlapping_clients() { stop(); }

void overlapping_clients::stop() {
  Stopping = true;
  for (std::thread &Each : Threads)
    Each.join();
  Threads.clear();
}

overlapping_clients::habits
overlapping_clients::randomHabits(std::mt19937_64 &Random) {
  habits Habits;
  Habits.ReadBytes = Random() % 3 == 0 ? SlowReadBytes : FastReadBytes;
  Habits.HeaderFields = HeaderFieldCounts[Random() % HeaderFieldCounts.size()];
  Habits.Interval = std::chrono::milliseconds(5 + Random() % 60);
  if (Random() % 3 != 0)
    Habits.MaxRequests = static_cast<int>(1 + Random() % 50);
  return Habits;
}

void overlapping_clients::sendUntilStopped(std::uint64_t Seed,
                                           unsigned Number) {
  std::mt19937_64 Random(Seed);
  const auto &Machines = Mesh.machines();
  for (unsigned Connection = 0; !Stopping; ++Connection) {
    const std::string &Machine = Machines[Random() % Machines.size()];
    try {
      useConnection(Mesh.outboundOf(Machine), randomHabits(Random),
                    "overlapping-" + std::to_string(Number) + "-" +
                        std::to_string(Connection));
    } catch (const boost::system::system_error &) {
      std::this_thread::sleep_for(ReconnectDelay); // The node is down.
    }
  }
}

void overlapping_clients::useConnection(const endpoint &Node,
                                        const habits &Habits,
                                        const std::string &Name) {
  pipelining_client Client(Node);
  std::deque<std::string> Expected;
  auto NextSend = std::chrono::steady_clock::now();
  auto AnsweredAt = NextSend;
  int Sent = 0;
  while (!Stopping && !Client.hasEnded() &&
         (Sent < Habits.MaxRequests || !Expected.empty())) {
    const auto Now = std::chrono::steady_clock::now();
    if (Now >= NextSend && Expected.size() < MaxOverlapping &&
        Sent < Habits.MaxRequests) {
      Expected.push_back(Name + "-" + std::to_string(++Sent));
      Client.send(requestText(Expected.back(), Habits.HeaderFields));
      NextSend = Now + Habits.Interval;
    }
    for (const auto &Answer : Client.receive(Habits.ReadBytes)) {
      check(Answer, Expected);
      AnsweredAt = Now;
    }
    if (Expected.empty() || Client.hasPartialAnswer())
      AnsweredAt = Now;
    if (Now - AnsweredAt > AnswerTimeLimit)
      return Findings.add("time limit", Expected.front() + " got no answer");
    std::this_thread::sleep_for(PollInterval);
  }
}

void overlapping_clients::check(const pipelining_client::answer &Answer,
                                std::deque<std::string> &Expected) {
  ++Answers;
  if (Expected.empty())
    return Findings.add("order", "an answer without a request, status " +
                                     std::to_string(Answer.Status));
  const std::string Id = Expected.front();
  Expected.pop_front();
  const std::string Echoed = Answer.header("x-request-id");
  if (!Echoed.empty() && Echoed != Id)
    Findings.add("order", Id + " received the answer to " + Echoed);
  if (Answer.Status != Ok)
    return;
  if (Answer.Body != "archive ran " + Id + " from " +
                         Answer.Body.substr(Answer.Body.find(" from ") + 6) ||
      Answer.header("x-response-signature").empty())
    Findings.add("complete answer", Id + " received the body " + Answer.Body);
  if (Mesh.Runs.of(Id) == 0)
    Findings.add("complete answer", Id + " was answered but never ran");
}

} // namespace clementine::soak
