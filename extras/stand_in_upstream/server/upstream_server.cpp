#include "stand_in_upstream/server/upstream_server.h"

#include "stand_in_upstream/server/service_time.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <thread>
#include <utility>

#include <unistd.h>

namespace clementine::stand_in {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusSubCallFailed = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusTimedOut = 504;
constexpr long StatusOk = 200;

/// The timeout of a request without Clementine-Timeout-Ms, and the upper bound
/// for one with it.
constexpr milliseconds DefaultTimeout(30000);

constexpr milliseconds ReportInterval(100);
constexpr milliseconds CheckInterval(10);

/// Requests that arrive later than this after a drain are counted as late.
constexpr milliseconds DrainGrace(3000);

const std::string CancelPrefix = "/clementine/cancel/";

http_answer jsonAnswer(unsigned Status, std::string Body) {
  http_answer Answer;
  Answer.Status = Status;
  Answer.Body = std::move(Body);
  Answer.Headers = {{"Content-Type", "application/json"}};
  return Answer;
}

http_answer notRun(const char *Reason) {
  http_answer Answer =
      jsonAnswer(StatusUnavailable, nlohmann::json{{"error", Reason}}.dump());
  Answer.Headers.emplace_back("Clementine-Outcome", "not-run");
  return Answer;
}

http_answer failed(unsigned Status, const std::string &Reason) {
  return jsonAnswer(Status, nlohmann::json{{"error", Reason}}.dump());
}

duration timeoutOf(const http_request &Request) {
  const std::string Text = Request.header("Clementine-Timeout-Ms");
  std::int64_t Milliseconds = 0;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Milliseconds);
  if (Text.empty() || Parsed.ec != std::errc() || Milliseconds < 0)
    return DefaultTimeout;
  return std::min(milliseconds(Milliseconds), DefaultTimeout);
}

std::string operationOf(const std::string &Path) {
  return Path.empty() ? Path : Path.substr(1);
}

/// Counts the requests in flight.
class in_flight_guard {
public:
  explicit in_flight_guard(std::atomic<int> &Counter) : Counter(Counter) {
    ++Counter;
  }
  ~in_flight_guard() { --Counter; }

  in_flight_guard(const in_flight_guard &) = delete;
  in_flight_guard &operator=(const in_flight_guard &) = delete;

private:
  std::atomic<int> &Counter;
};

} // namespace

/// The state of a request that is being served.
struct upstream_server::call {
  std::string Operation;
  run_key Key;
  std::string Token;
  instant Deadline;
  work_slots::claim Claim;
  duration ServiceTime{0};
  duration Busy{0};
  nlohmann::json Answers = nlohmann::json::array();
  std::string SubCallError;
};

upstream_server::upstream_server(upstream_settings InitialSettings)
    : Settings(std::move(InitialSettings)), Started(Time.now()),
      Slots(Settings.Slots), Runs(Settings.Journal, Time),
      Random(Settings.Seed),
      Reporter("reporter",
               [this](const std::atomic<bool> &Ending) {
                 while (!Ending) {
                   {
                     const std::lock_guard Lock(ReportsMutex);
                     Reports.push_back({Time.now(), Slots.current()});
                     // Keeps the newest report that is at least ReportLag old.
                     while (Reports.size() > 1 &&
                            Time.now() - Reports[1].Taken >= Settings.ReportLag)
                       Reports.pop_front();
                   }
                   std::this_thread::sleep_for(ReportInterval);
                 }
               },
               {}, {}) {
  http_server::limits Limits;
  Limits.MostConnections = Settings.Connections;
  Server = std::make_unique<http_server>(
      Settings.Listen, Limits,
      [this](const http_request &Request) { return handle(Request); });
  Reporter.start();
  Announcer =
      std::make_unique<node_announcer>(Settings, [this] { return isCold(); });
}

upstream_server::~upstream_server() {
  Stopping = true;
  Announcer.reset();
  Reporter.stop();
  {
    const std::lock_guard Lock(CallsMutex);
    for (const auto &[Token, Call] : Calls)
      Slots.cancel(Call->Claim);
  }
  Server.reset();
}

void upstream_server::drain() {
  if (Draining.exchange(true))
    return;
  DrainedAt = Time.now().time_since_epoch().count();
  Announcer->drain();
}

bool upstream_server::awaitIdle(duration Timeout) const {
  const instant End = Time.now() + Timeout;
  while (InFlight > 0 && Time.now() < End)
    std::this_thread::sleep_for(CheckInterval);
  return InFlight == 0;
}

http_answer upstream_server::handle(const http_request &Request) {
  if (Request.Path.starts_with(CancelPrefix))
    return cancel(Request.Path.substr(CancelPrefix.size()));
  if (Request.Path == "/health")
    return jsonAnswer(StatusOk, healthJson());
  if (Request.Path == "/load")
    return jsonAnswer(StatusOk, loadJson());
  if (Request.Path.starts_with("/stand-in/"))
    return handleControl(Request);
  const in_flight_guard Guard(InFlight);
  return runOperation(Request);
}

http_answer upstream_server::handleControl(const http_request &Request) {
  if (Request.Path == "/stand-in/runs")
    return jsonAnswer(StatusOk, runsJson());
  if (Request.Path == "/stand-in/drain") {
    drain();
    return jsonAnswer(StatusOk, "{}");
  }
  if (Request.Path != "/stand-in/faults")
    return failed(StatusNotFound, "unknown path");
  const auto Changed = Faults.change(Request.Body);
  if (!Changed)
    return failed(StatusBadRequest, "wrong field: " + Changed.error().Field);
  return jsonAnswer(StatusOk, "{}");
}

http_answer upstream_server::cancel(const std::string &Token) {
  const std::lock_guard Lock(CallsMutex);
  const auto [First, Last] = Calls.equal_range(Token);
  for (auto Entry = First; Entry != Last; ++Entry)
    Slots.cancel(Entry->second->Claim);
  return First == Last ? failed(StatusNotFound, "not in flight")
                       : jsonAnswer(StatusOk, "{}");
}

http_answer upstream_server::runOperation(const http_request &Request) {
  if (Draining && Time.now().time_since_epoch().count() - DrainedAt >
                      duration(DrainGrace).count())
    ++LateRequests;
  const upstream_faults Current = Faults.current();
  if (Current.Sheds ||
      (Settings.ShedAbove > 0 && Slots.current().Waiting > Settings.ShedAbove))
    return notRun("shed");
  call Call;
  Call.Operation = operationOf(Request.Path);
  Call.Key = {Call.Operation, Request.header("Idempotency-Key"),
              nonceOf(Request.Body)};
  Call.Token = Request.header("Clementine-Request");
  Call.Deadline = Time.now() + timeoutOf(Request);
  std::multimap<std::string, call *>::iterator Entry;
  {
    const std::lock_guard Lock(CallsMutex);
    Entry = Calls.emplace(Call.Token, &Call);
  }
  http_answer Answer = runInSlot(Request, Call);
  const std::lock_guard Lock(CallsMutex);
  Calls.erase(Entry);
  return Answer;
}

http_answer upstream_server::runInSlot(const http_request &Request,
                                       call &Call) {
  switch (Slots.acquire(Call.Claim, Call.Deadline)) {
  case work_slots::wait_result::Cancelled:
    return notRun("cancelled before it began");
  case work_slots::wait_result::TimedOut:
    return notRun("the deadline passed before it began");
  case work_slots::wait_result::Granted:
    break;
  }
  Runs.begin(Call.Key);
  Call.ServiceTime = sampleServiceTime();
  bool IsWhole = workHalf(Call);
  const auto Plan = Settings.Calls.find(Call.Operation);
  if (Plan != Settings.Calls.end())
    for (const sub_call &Target : Plan->second)
      IsWhole = IsWhole && makeSubCall(Request, Target, Call);
  IsWhole = IsWhole && workHalf(Call);
  Runs.end(Call.Key, IsWhole, Call.Busy);
  Slots.release();
  if (IsWhole)
    return finish(Call, Request.Body);
  const bool IsSubCall = !Call.SubCallError.empty();
  return failed(IsSubCall ? StatusSubCallFailed : StatusTimedOut,
                IsSubCall ? Call.SubCallError : "cancelled or out of time");
}

http_answer upstream_server::finish(const call &Call, std::string Body) {
  if (Faults.current().ExitsAfterRun)
    ::_exit(1);
  while (Faults.current().Hangs && !Stopping)
    std::this_thread::sleep_for(CheckInterval);
  const nlohmann::json Whole = {{"service", Settings.Service},
                                {"operation", Call.Operation},
                                {"echo", std::move(Body)},
                                {"calls", Call.Answers}};
  http_answer Answer = jsonAnswer(
      StatusOk,
      Whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  Answer.IsTruncated = Faults.consumeTruncatedAnswer();
  return Answer;
}

bool upstream_server::workHalf(call &Call) {
  const instant Begin = Time.now();
  const instant End = Begin + Call.ServiceTime / 2;
  const bool IsNotCancelled =
      Slots.work(Call.Claim, std::min(End, Call.Deadline));
  Call.Busy += Time.now() - Begin;
  return IsNotCancelled && End <= Call.Deadline;
}

bool upstream_server::makeSubCall(const http_request &Request,
                                  const sub_call &Target, call &Call) {
  const duration Left = Call.Deadline - Time.now();
  const std::string Name = Target.Service + "/" + Target.Operation;
  if (Left <= duration(0) || Slots.isCancelled(Call.Claim))
    return false;
  std::vector<std::string> Headers = {
      "Content-Type: application/json", "Clementine-Request: " + Call.Token,
      "Clementine-Timeout-Ms: " +
          std::to_string(duration_cast<milliseconds>(Left).count())};
  if (!Call.Key.IdempotencyKey.empty())
    Headers.push_back("Idempotency-Key: " + Call.Key.IdempotencyKey + "." +
                      std::to_string(Call.Answers.size()));
  const std::string Trace = Request.header("traceparent");
  if (!Trace.empty())
    Headers.push_back("traceparent: " + Trace);
  const auto Answer =
      Client.post(Settings.Node + "/call/" + Name, Headers, Request.Body, Left);
  if (!Answer) {
    Call.SubCallError = "no answer from " + Name;
    return false;
  }
  auto Body = nlohmann::json::parse(Answer->Body, nullptr, false);
  if (Answer->Status != StatusOk || !Body.is_object() ||
      Body.value("echo", nlohmann::json()) != Request.Body) {
    Call.SubCallError = Name + " answered " + std::to_string(Answer->Status) +
                        " " + Answer->Outcome;
    return false;
  }
  Call.Answers.push_back(std::move(Body));
  return true;
}

duration upstream_server::sampleServiceTime() {
  double Factor =
      Faults.current().SlowFactor *
      coldFactor(Time.now() - Started, Settings.ColdTime, Settings.ColdFactor);
  const std::lock_guard Lock(RandomMutex);
  Factor *= sampleSpread(Random, Settings.Spread);
  return duration(static_cast<duration::rep>(
      Factor * static_cast<double>(Settings.ServiceTime.count())));
}

bool upstream_server::isCold() const {
  return Time.now() - Started < Settings.ColdTime;
}

work_slots::usage upstream_server::delayedUsage() {
  const std::lock_guard Lock(ReportsMutex);
  return Reports.empty() ? work_slots::usage{} : Reports.front().Usage;
}

std::string upstream_server::healthJson() {
  const bool IsOverloaded = delayedUsage().Waiting > 0;
  const bool ReportsOverloaded = IsOverloaded != Faults.current().InvertsHealth;
  const char *Status = ReportsOverloaded ? "overloaded" : "ok";
  if (Draining)
    Status = "draining";
  return nlohmann::json{{"status", Status}}.dump();
}

std::string upstream_server::loadJson() {
  work_slots::usage Usage = delayedUsage();
  if (Faults.current().InvertsLoad)
    Usage = {Settings.Slots - Usage.InUse, 0};
  return nlohmann::json{{"slots", Settings.Slots},
                        {"in_use", Usage.InUse},
                        {"waiting", Usage.Waiting}}
      .dump();
}

std::string upstream_server::runsJson() const {
  auto Record = nlohmann::json::parse(Runs.json());
  Record["late_after_drain"] = LateRequests.load();
  Record["in_flight"] = InFlight.load();
  return Record.dump();
}

} // namespace clementine::stand_in
