#include "clementine_proxy/entry/forwarder.h"

#include "clementine_core/http/response_syntax.h"
#include "clementine_proxy/entry/caller_deadline.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace clementine::proxy {

namespace {

constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned FirstServerError = 500;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

const logger &log() {
  static const logger Log("entry");
  return Log;
}

std::string formatSeconds(duration Span) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.3f",
                std::chrono::duration<double>(Span).count());
  return Text;
}

/// Turns a report into one of an unknown outcome if it may claim more than its
/// gate knows, as those of gates of earlier versions do.
void withdrawUnfoundedClaims(run_report &Report) {
  // The gate may have forgotten the run; see run_report::IsProven.
  if (Report.Outcome == run_outcome::NotRun &&
      Report.Cause == run_cause::UnknownAttempt && !Report.IsProven) {
    Report.Outcome = run_outcome::Unknown;
    Report.ReachedInstance = true;
  }
  if (Report.Outcome == run_outcome::Completed &&
      !isFinalStatus(Report.Response.Status)) {
    Report.Outcome = run_outcome::Unknown;
    Report.Cause = run_cause::NoValidResponse;
  }
}

} // namespace

forwarder::forwarder(forwarder_settings Settings, const header_names &Names,
                     instance_directory &Directory, forward_port &Port,
                     random_source &Random)
    : Settings(std::move(Settings)), Names(Names), Directory(Directory),
      Port(Port), Random(Random) {}

forwarder::~forwarder() = default;

bool forwarder::setConfig(std::shared_ptr<const routing_config> Newer) {
  if (Routes && Newer->Version <= configVersion())
    return false;
  Routes = std::make_shared<const route_table>(std::move(Newer));
  return true;
}

void forwarder::begin(call_number Number, request Request, instant Now) {
  auto Call = std::make_shared<call>();
  Call->Number = Number;
  Call->RequestId = findHeader(Request.Headers, Names.RequestId).value_or("");
  Call->ArrivedAt = Now;
  Call->WakeAt = instant::max();
  Call->Routes = Routes;
  Calls.emplace(Number, Call);
  if (!Routes || Now >= RefusesFrom)
    return finish(*Call, localResponse(*Call, Unavailable, true),
                  Routes ? "stopping" : "no-config", Now);
  const auto Host = findHeader(Request.Headers, "Host").value_or("");
  Call->Route = Routes->find(Host, Request.path());
  if (Call->Route == nullptr)
    return finish(*Call, localResponse(*Call, NotFound, false), "no-route",
                  Now);
  if (Call->RequestId.empty())
    return finish(*Call, localResponse(*Call, BadRequest, false), "no-id", Now);
  const auto &Services = Call->Route->Services;
  Call->Service = Services[Rotations[Call->Route->Name].next(Services)].Service;
  Call->TimeoutAt =
      Now +
      std::min<duration>(
          Call->Route->Timeout,
          callerTimeoutOf(Request, Names.Deadline).value_or(duration::max()));
  removeConnectionHeaders(Request.Headers);
  removeHeader(Request.Headers, Names.Deadline);
  removeHeader(Request.Headers, Names.ExpectedInstance);
  removeHeader(Request.Headers, Names.CallerService);
  Request.Headers.emplace_back(Names.CallerService, Settings.OwnService);
  Call->Request = std::move(Request);
  Budgets.try_emplace(Call->Service, Settings.Retries)
      .first->second.recordRequest(Now);
  tryNextGate(Call, Now);
}

void forwarder::tryNextGate(const call_pointer &Call, instant Now) {
  if (!MayOffer || Now >= Call->TimeoutAt)
    return cancelOrFail(Call, Now);
  const known_gate *Gate =
      Call->Offers < Settings.MaxOffers
          ? Directory.choose(Call->Service, Call->Tried, Now)
          : nullptr;
  if (Gate == nullptr) {
    const bool MayPark =
        Call->Offers == 0 && Now - Call->ArrivedAt < Settings.MaxParkingTime;
    if (!MayPark)
      return cancelOrFail(Call, Now);
    return wakeAt(
        *Call, std::min(Now + Settings.ParkingPollInterval, Call->TimeoutAt));
  }
  attempt Attempt;
  Attempt.Id = {Random.next(), Random.next()};
  Attempt.Node = Gate->Record.Node;
  Call->Attempt = Attempt;
  Call->Tried.push_back(Attempt.Node);
  ++Call->Offers;
  CallsByAttempt[Attempt.Id] = Call;
  wakeAt(*Call, Call->TimeoutAt);
  Directory.attemptSent(Attempt.Node);
  if (Port.openLink(Gate->Record)) {
    Call->Attempt->Incarnation = Gate->Record.Incarnation;
    sendAttempt(*Call, Now);
  }
}

void forwarder::sendAttempt(call &Call, instant Now) {
  attempt_request AttemptRequest;
  AttemptRequest.Attempt = Call.Attempt->Id;
  AttemptRequest.RequestId = Call.RequestId;
  AttemptRequest.Service = Call.Service;
  AttemptRequest.Priority = Call.Route->Priority;
  AttemptRequest.IsIdempotent = Call.Route->IsIdempotent;
  AttemptRequest.HasLowestPriority =
      Call.Route->Priority >= Call.Routes->lowestUrgency();
  AttemptRequest.TimeLeftMicroseconds =
      duration_cast<microseconds>(Call.TimeoutAt - Now).count();
  AttemptRequest.Request = Call.Request;
  Call.Attempt->IsSent = true;
  Call.Attempt->Number = ++LastNumber;
  AttemptRequest.Origin = originOf(*Call.Attempt);
  Port.send(Call.Attempt->Node, std::move(AttemptRequest));
}

attempt_origin forwarder::originOf(const attempt &Attempt) const {
  return {Settings.OwnNode, Settings.Incarnation, Attempt.Number};
}

void forwarder::handleReport(const std::string &Node, run_report Report,
                             instant Now) {
  Directory.status(Node, Report.Gate);
  const auto Found = CallsByAttempt.find(Report.Attempt);
  if (Found == CallsByAttempt.end())
    return;
  const call_pointer Call = Found->second;
  withdrawUnfoundedClaims(Report);
  isolate(Call, Now, [&] { attemptEnded(Call, Report, Now); });
}

void forwarder::closeAttempt(call &Call, const run_report &Report,
                             instant Now) {
  const attempt Ended = *Call.Attempt;
  Call.Attempt.reset();
  CallsByAttempt.erase(Ended.Id);
  const bool HasFailed = Report.Outcome == run_outcome::Unknown ||
                         (Report.Outcome == run_outcome::Completed &&
                          Report.Response.Status >= FirstServerError);
  Directory.recordAttemptEnd(Ended.Node, Report.Outcome, Report.Cause,
                             HasFailed, Now);
  if (Report.ReachedInstance)
    ++Call.InstancesReached;
  Call.LastCause = Report.Cause;
  if (Report.Outcome == run_outcome::Completed)
    return;
  log().info("attempt not completed",
             {{"id", Call.RequestId},
              {"gate", Ended.Node},
              {"outcome", runOutcomeName(Report.Outcome)},
              {"cause", runCauseName(Report.Cause)},
              {"running", Report.Gate.Running},
              {"queued", Report.Gate.Queued},
              {"arrivals", Call.InstancesReached}});
  if (Report.Outcome == run_outcome::Unknown)
    Call.MayHaveRun = true;
}

void forwarder::attemptEnded(const call_pointer &Call, run_report &Report,
                             instant Now) {
  const bool WasCancelled = Call->Attempt->IsCancelled;
  closeAttempt(*Call, Report, Now);
  if (Report.Outcome == run_outcome::Completed)
    return finish(*Call, std::move(Report.Response), "completed", Now);
  if (WasCancelled || !mayRetry(*Call, Report, Now))
    return cancelOrFail(Call, Now);
  tryNextGate(Call, Now);
}

/// Whether a call may be retried after its attempt has ended. If so, this
/// consumes a retry from the service's budget, unless no attempt of the call
/// has reached an instance yet (each was refused by its gate, for example).
bool forwarder::mayRetry(call &Call, const run_report &Report, instant Now) {
  if (Now >= Call.TimeoutAt || Call.Offers >= Settings.MaxOffers)
    return false;
  if (Report.Outcome == run_outcome::Unknown && !Call.Route->IsIdempotent)
    return false;
  if (!Report.ReachedInstance && Call.InstancesReached == 0)
    return true;
  return Call.InstancesReached < Call.Route->MaxAttempts &&
         Budgets.at(Call.Service).tryAcquire(Now);
}

void forwarder::cancelOrFail(const call_pointer &Call, instant Now) {
  if (Call->Attempt) {
    attempt &Attempt = *Call->Attempt;
    if (Attempt.IsSent && !Attempt.IsCancelled) {
      // Only the gate knows whether the attempt has started.
      Attempt.IsCancelled = true;
      wakeAt(*Call, Now + Settings.CancelGrace);
      return Port.send(Attempt.Node, run_cancel{Attempt.Id, true});
    }
    Directory.recordAttemptEnd(Attempt.Node, run_outcome::Unknown,
                               run_cause::Cancelled, false, Now);
    Call->MayHaveRun = Call->MayHaveRun || Attempt.IsSent;
    CallsByAttempt.erase(Attempt.Id);
    Call->Attempt.reset();
  }
  if (!Call->MayHaveRun)
    return finish(*Call, localResponse(*Call, Unavailable, true), "not-run",
                  Now);
  const unsigned Status = Now >= Call->TimeoutAt ? GatewayTimeout : BadGateway;
  finish(*Call, localResponse(*Call, Status, false), "unknown", Now);
}

response forwarder::localResponse(const call &Call, unsigned Status,
                                  bool HasRetryAfter) const {
  response Response;
  Response.Status = Status;
  if (!Call.RequestId.empty())
    Response.Headers.emplace_back(Names.RequestId, Call.RequestId);
  if (HasRetryAfter)
    Response.Headers.emplace_back("Retry-After",
                                  formatSeconds(Settings.RetryAfter));
  return Response;
}

void forwarder::finish(call &Call, response Response, std::string_view Verdict,
                       instant Now) {
  log().info(
      "request answered",
      {{"id", Call.RequestId},
       {"route", Call.Route == nullptr ? "" : Call.Route->Name},
       {"service", Call.Service},
       {"config", Call.Routes ? Call.Routes->config().Version : 0},
       {"status", Response.Status},
       {"verdict", Verdict},
       {"cause", runCauseName(Call.LastCause)},
       {"last", Call.Tried.empty() ? "" : Call.Tried.back()},
       {"offers", Call.Offers},
       {"arrivals", Call.InstancesReached},
       {"ms", duration_cast<milliseconds>(Now - Call.ArrivedAt).count()}});
  const call_number Number = Call.Number;
  erase(Call);
  Port.answer(Number, std::move(Response));
}

void forwarder::erase(call &Call) {
  wakeAt(Call, instant::max());
  if (Call.Attempt)
    CallsByAttempt.erase(Call.Attempt->Id);
  Calls.erase(Call.Number);
}

void forwarder::abandon(call &Call, const char *Reason, instant Now) {
  log().error("request ended by an exception",
              {{"id", Call.RequestId}, {"reason", Reason}});
  if (!Calls.contains(Call.Number))
    return;
  if (Call.Attempt)
    Directory.recordAttemptEnd(Call.Attempt->Node, run_outcome::Unknown,
                               run_cause::Cancelled, false, Now);
  finish(Call, localResponse(Call, BadGateway, false), "fault", Now);
}

void forwarder::callerDisconnected(call_number Number, instant Now) {
  const auto Found = Calls.find(Number);
  if (Found == Calls.end())
    return;
  const call_pointer Call = Found->second;
  log().info("caller disconnected",
             {{"id", Call->RequestId}, {"service", Call->Service}});
  if (Call->Attempt) {
    if (Call->Attempt->IsSent)
      Port.send(Call->Attempt->Node,
                run_cancel{Call->Attempt->Id, Call->Route->IsIdempotent});
    Directory.recordAttemptEnd(Call->Attempt->Node, run_outcome::NotRun,
                               run_cause::Cancelled, false, Now);
  }
  erase(*Call);
}

void forwarder::cancelAll(instant Now) {
  MayOffer = false;
  const auto Unanswered = Calls;
  for (const auto &[Number, Call] : Unanswered)
    if (!Call->Attempt || !Call->Attempt->IsCancelled)
      isolate(Call, Now, [&, &Each = Call] { cancelOrFail(Each, Now); });
}

void forwarder::answerAll(instant Now) {
  const auto Unanswered = Calls;
  for (const auto &[Number, Call] : Unanswered) {
    isolate(Call, Now, [&, &Each = Call] {
      if (Each->Attempt && Each->Attempt->IsSent && !Each->Attempt->IsCancelled)
        cancelOrFail(Each, Now);
      cancelOrFail(Each, Now);
    });
  }
}

void forwarder::passTime(instant Now) {
  while (!Wakes.empty() && Wakes.begin()->first <= Now) {
    const call_pointer Call = Calls.at(Wakes.begin()->second);
    wakeAt(*Call, instant::max());
    isolate(Call, Now, [&] {
      if (Call->Attempt || Now >= Call->TimeoutAt)
        cancelOrFail(Call, Now);
      else
        tryNextGate(Call, Now);
    });
  }
}

std::optional<instant> forwarder::nextWake() const {
  if (Wakes.empty())
    return std::nullopt;
  return Wakes.begin()->first;
}

void forwarder::wakeAt(call &Call, instant Time) {
  if (Call.WakeAt != instant::max()) {
    auto [Begin, End] = Wakes.equal_range(Call.WakeAt);
    for (auto Each = Begin; Each != End; ++Each)
      if (Each->second == Call.Number) {
        Wakes.erase(Each);
        break;
      }
  }
  Call.WakeAt = Time;
  if (Time != instant::max())
    Wakes.emplace(Time, Call.Number);
}

} // namespace clementine::proxy
