#include "stand_in_users_platform/app_instance.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace clementine::stand_in {

namespace {

constexpr unsigned Misdirected = 421;
constexpr unsigned Unavailable = 503;
constexpr unsigned ServerError = 500;
constexpr long Ok = 200;
constexpr std::chrono::milliseconds ReportInterval{200};
/// How long it waits before it repeats a call that was not confirmed.
constexpr std::chrono::milliseconds ReportRetryDelay{50};
constexpr std::chrono::milliseconds ReportTimeout{1000};
constexpr std::chrono::milliseconds CallTimeout{2000};

http_answer refusal(unsigned Status) {
  http_answer Answer;
  Answer.Status = Status;
  Answer.Headers = {{"X-Not-Executed", "1"}};
  return Answer;
}

} // namespace

void run_counts::add(const std::string &RequestId, const std::string &Method,
                     const std::string &Instance) {
  const std::lock_guard Lock(Mutex);
  request_runs &Runs = Requests[RequestId];
  Runs.Method = Method;
  ++Runs.Count;
  ++Instances[Instance];
}

int run_counts::of(const std::string &RequestId) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Requests.find(RequestId);
  return Found == Requests.end() ? 0 : Found->second.Count;
}

int run_counts::by(const std::string &Instance) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Instances.find(Instance);
  return Found == Instances.end() ? 0 : Found->second;
}

std::set<std::string> run_counts::repeated(const std::string &Method) const {
  const std::lock_guard Lock(Mutex);
  std::set<std::string> Found;
  for (const auto &[Id, Runs] : Requests)
    if (Runs.Count > 1 && (Method.empty() || Runs.Method == Method))
      Found.insert(Id);
  return Found;
}

app_instance::app_instance(app_instance_settings Given, run_counts &Runs)
    : Settings(std::move(Given)), Runs(Runs),
      ServiceTime(std::chrono::duration_cast<std::chrono::milliseconds>(
          Settings.ServiceTime)),
      Server(std::make_unique<http_server>(
          Settings.Listen, http_server::limits{},
          [this](const http_request &Request) { return handle(Request); })),
      Reporter([this] { sendReportsUntilStopped(); }) {}

app_instance::~app_instance() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Reporter.join();
  Server.reset();
}

void app_instance::nameLimit(std::optional<double> PerSecond) {
  const std::lock_guard Lock(Mutex);
  NamedLimit = PerSecond;
}

http_answer app_instance::handle(const http_request &Request) {
  http_answer Answer = answerTo(Request);
  const std::lock_guard Lock(Mutex);
  if (NamedLimit)
    Answer.Headers.emplace_back("Server-Limit", std::to_string(*NamedLimit));
  if (SaysLeaving)
    Answer.Headers.emplace_back("Server-Leaving", "1");
  return Answer;
}

http_answer app_instance::answerTo(const http_request &Request) {
  const std::string Id = Request.header("X-Request-Id");
  http_answer Answer;
  const std::string Expected = Request.header("X-Expected-Instance");
  if (!Expected.empty() && Expected != Settings.Id) {
    Answer = refusal(Misdirected);
  } else if (++SlotsInUse > Settings.Slots) {
    --SlotsInUse;
    Answer = refusal(Unavailable);
  } else {
    Runs.add(Id, Request.Method, Settings.Id);
    std::this_thread::sleep_for(ServiceTime.load());
    Answer.Status = makeSubCalls(Request) ? Ok : ServerError;
    Answer.Body = Settings.Service + " ran " + Id + " from " +
                  Request.header("X-Caller-Service") + ": " + Request.Body;
    Answer.Headers = {{"X-Response-Signature", "proof-of-" + Settings.Id}};
    --SlotsInUse;
    if (LostAnswers > 0) {
      --LostAnswers;
      Answer.IsTruncated = true;
    }
  }
  Answer.Headers.emplace_back("X-Request-Id", Id);
  return Answer;
}

bool app_instance::makeSubCalls(const http_request &Request) {
  return std::all_of(
      Settings.Calls.begin(), Settings.Calls.end(),
      [&](const instance_sub_call &Call) {
        const std::string Id = Settings.Id + "-" + std::to_string(++LastCall);
        const auto Answer = Client.send(
            "GET", "http://" + Settings.Outbound.text() + Call.Prefix + "x",
            {"Host: " + Call.Host, "X-Request-Id: " + Id,
             "X-Deadline-Ms: " + Request.header("X-Deadline-Ms")},
            "", CallTimeout, http_client::connection::SingleUse);
        return Answer && Answer->Status == Ok;
      });
}

bool app_instance::report() {
  return report(IsDraining ? "draining" : "ready", ++Sequence);
}

bool app_instance::report(const char *State, std::uint64_t Number) {
  const nlohmann::json Body = {
      {"service", Settings.Service}, {"address", Settings.Address.text()},
      {"zone", Settings.Zone},       {"version", "v1"},
      {"slots", Settings.Slots},     {"state", State},
      {"cold_remaining_ms", 0},      {"born", Settings.StartedAt},
      {"sequence", Number}};
  return callNode("Heartbeat", Body.dump());
}

bool app_instance::callNode(const std::string &Call, const std::string &Body) {
  const auto Answer =
      Client.send("POST",
                  "http://" + Settings.Control.text() +
                      "/clementinecove/Instances." + Call + "/" + Settings.Id,
                  {"Content-Type: application/json"}, Body, ReportTimeout,
                  http_client::connection::SingleUse);
  return Answer && Answer->Status == Ok;
}

bool app_instance::drain() {
  IsDraining = true;
  return report();
}

bool app_instance::deregister() {
  ReportsPaused = true;
  const nlohmann::json Body = {{"born", Settings.StartedAt}};
  return callNode("Deregister", Body.dump());
}

void app_instance::sendReportsUntilStopped() {
  std::unique_lock Lock(Mutex);
  while (!Stopping) {
    Lock.unlock();
    const bool IsConfirmed = ReportsPaused || report();
    Lock.lock();
    Changed.wait_for(Lock, IsConfirmed ? ReportInterval : ReportRetryDelay,
                     [this] { return Stopping; });
  }
}

} // namespace clementine::stand_in
