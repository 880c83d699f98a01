#include "clementine_node/callers/caller_frontend.h"

#include "clementine_telemetry/clementine_telemetry.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <exception>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace clementine {

namespace {

constexpr std::string_view CallPrefix = "/call/";
/// Maximum wait for an answer; the deadline of every request is shorter.
constexpr std::chrono::minutes MaxAnswerWait{5};
constexpr std::int64_t MaxTimeoutMilliseconds = 240000;
constexpr std::size_t MaxPathNameLength = 64;
/// Maximum length of a service name in membership records.
constexpr std::size_t MaxServiceNameLength = 48;
constexpr std::int64_t MaxPort = 65535;
/// When a caller should retry after a status of 429 or 503.
constexpr std::string_view RetryAfterSeconds = "1";

constexpr std::array<std::string_view, 3> OutcomeNames = {"completed",
                                                          "not-run", "unknown"};

/// @returns the HTTP status of an answer that has none from the upstream.
unsigned statusOf(const caller_answer &Answer) {
  constexpr unsigned BadRequest = 400;
  constexpr unsigned Forbidden = 403;
  constexpr unsigned NotFound = 404;
  constexpr unsigned TooManyRequests = 429;
  constexpr unsigned Unavailable = 503;
  constexpr unsigned GatewayTimeout = 504;
  switch (Answer.Reason) {
  case refusal::Malformed:
  case refusal::KeyRequired:
    return BadRequest;
  case refusal::UnknownCaller:
    return Forbidden;
  case refusal::UnknownOperation:
    return NotFound;
  case refusal::CallerLimit:
    return TooManyRequests;
  default:
    break;
  }
  return Answer.Outcome == run_outcome::NotRun ? Unavailable : GatewayTimeout;
}

/// @returns whether a caller's header is forwarded to the upstream.
bool isForwardedHeader(std::string_view Name) {
  static constexpr std::array<std::string_view, 7> Forwarded = {
      "accept",           "accept-language", "authorization", "content-type",
      "content-encoding", "cookie",          "user-agent"};
  const header_name_less Less;
  return std::any_of(Forwarded.begin(), Forwarded.end(), [&](auto Known) {
    return !Less(Known, Name) && !Less(Name, Known);
  });
}

bool splitPath(std::string_view Path, std::string &Service,
               std::string &Operation) {
  if (!Path.starts_with(CallPrefix))
    return false;
  Path.remove_prefix(CallPrefix.size());
  const auto Slash = Path.find('/');
  if (Slash == std::string_view::npos)
    return false;
  Service = Path.substr(0, Slash);
  Operation = Path.substr(Slash + 1);
  const auto IsName = [](const std::string &Name) {
    return !Name.empty() && Name.size() <= MaxPathNameLength &&
           Name.find('/') == std::string::npos;
  };
  return IsName(Service) && IsName(Operation);
}

bool parseTimeout(const std::string &Text, std::optional<duration> &Timeout) {
  if (Text.empty())
    return true;
  std::int64_t Milliseconds = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Milliseconds);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Milliseconds < 1 ||
      Milliseconds > MaxTimeoutMilliseconds)
    return false;
  Timeout = std::chrono::milliseconds(Milliseconds);
  return true;
}

bool parseSend(const std::string &Text, send_number &Send) {
  if (Text.empty())
    return true;
  if (Text != "first" && Text != "again")
    return false;
  Send = Text == "first" ? send_number::First : send_number::Again;
  return true;
}

http_response plainTextResponse(unsigned Status, std::string Body) {
  return {Status, {{"Content-Type", "text/plain"}}, std::move(Body)};
}

http_response badRequest(const std::string &Message) {
  http_response Response = plainTextResponse(400, Message + "\n");
  Response.Headers["Clementine-Outcome"] = OutcomeNames[1];
  return Response;
}

http_response responseOf(const caller_answer &Answer) {
  http_response Response;
  const auto Outcome = static_cast<std::size_t>(Answer.Outcome);
  if (Answer.Outcome == run_outcome::Completed) {
    Response.Status = Answer.Answer.Status;
    Response.Body = Answer.Answer.Body;
    for (const header_field &Header : Answer.Answer.Headers)
      Response.Headers[Header.Name] = Header.Value;
  } else {
    Response = plainTextResponse(
        statusOf(Answer), std::string(OutcomeNames.at(Outcome)) + ": " +
                              std::string(refusalName(Answer.Reason)) + "\n");
    Response.Headers["Clementine-Reason"] = refusalName(Answer.Reason);
    if (Response.Status == 429 || Response.Status == 503)
      Response.Headers["Retry-After"] = RetryAfterSeconds;
  }
  Response.Headers["Clementine-Outcome"] = OutcomeNames.at(Outcome);
  Response.Headers["Clementine-Request-Id"] = Answer.Request.text();
  return Response;
}

} // namespace

caller_frontend::caller_frontend(frontend_listener &Listener)
    : Listener(Listener) {}

http_response caller_frontend::handle(const http_request &Request) {
  if (Request.Path.starts_with(CallPrefix))
    return callOrUnknown(Request);
  if (Request.Path == "/upstream/announce")
    return announce(Request);
  if (Request.Path == "/upstream/drain")
    return drain(Request);
  return plainTextResponse(
      404, "unknown path; requests go to /call/SERVICE/OPERATION\n");
}

http_response caller_frontend::callOrUnknown(const http_request &Request) {
  try {
    return call(Request);
  } catch (const std::exception &Fault) {
    logger("frontend")
        .error("call ended by an exception", {{"reason", Fault.what()}});
    http_response Response =
        plainTextResponse(504, "unknown: the call failed unexpectedly\n");
    Response.Headers["Clementine-Outcome"] = OutcomeNames[2];
    return Response;
  }
}

http_response caller_frontend::call(const http_request &Request) {
  caller_request Call;
  if (!splitPath(Request.Path, Call.Service, Call.Operation))
    return badRequest("the path has to be /call/SERVICE/OPERATION");
  if (!parseTimeout(Request.header("Clementine-Timeout-Ms"), Call.Timeout))
    return badRequest("Clementine-Timeout-Ms has to be 1 to 240000");
  if (!parseSend(Request.header("Clementine-Send"), Call.Send))
    return badRequest("Clementine-Send has to be first or again");
  const std::string Token = Request.header("Clementine-Request");
  if (!Token.empty()) {
    Call.Parent.emplace();
    if (!request_id::parse(Token, *Call.Parent))
      return badRequest("Clementine-Request has to be the token of a run");
  }
  Call.Caller = Request.header("Clementine-Caller");
  Call.Key = Request.header("Idempotency-Key");
  Call.TraceParent = Request.header("traceparent");
  Call.Payload.Method = Request.Method;
  Call.Payload.Body = Request.Body;
  for (const auto &[Name, Value] : Request.Headers)
    if (isForwardedHeader(Name))
      Call.Payload.Headers.push_back({Name, Value});
  return responseOf(submitAndWait(std::move(Call)));
}

caller_answer caller_frontend::submitAndWait(caller_request Request) {
  caller_answer Refusal;
  Refusal.Outcome =
      Request.Key.empty() ? run_outcome::NotRun : run_outcome::Unknown;
  if (Request.Send == send_number::First)
    Refusal.Outcome = run_outcome::NotRun;
  if (IsRefusing && !Request.Parent) {
    Refusal.Reason = refusal::Leaving;
    return Refusal;
  }
  const auto Session = std::make_shared<caller_session>();
  {
    const std::lock_guard Lock(Mutex);
    Request.Call = NextCall++;
    Sessions[Request.Call] = Session;
  }
  const call_id Call = Request.Call;
  if (!passOn(std::move(Request))) {
    Refusal.Reason = refusal::NodeBusy;
    return Refusal;
  }
  std::unique_lock Lock(Session->Mutex);
  if (Session->AnswerReady.wait_for(
          Lock, MaxAnswerWait, [&] { return Session->Answer.has_value(); }))
    return *Session->Answer;
  Lock.unlock();
  const std::lock_guard TableLock(Mutex);
  Sessions.erase(Call);
  Refusal.Outcome = run_outcome::Unknown;
  Refusal.Reason = refusal::DeadlinePassed;
  return Refusal;
}

/// @returns whether the listener accepted the request; its session is erased
/// otherwise.
bool caller_frontend::passOn(caller_request Request) {
  const call_id Call = Request.Call;
  const auto Erase = [&] {
    const std::lock_guard Lock(Mutex);
    Sessions.erase(Call);
  };
  try {
    if (Listener.callerRequested(std::move(Request)))
      return true;
  } catch (...) {
    Erase();
    throw;
  }
  Erase();
  return false;
}

void caller_frontend::answerCaller(caller_answer Answer) {
  std::shared_ptr<caller_session> Session;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = Sessions.find(Answer.Call);
    if (Found == Sessions.end())
      return;
    Session = Found->second;
    Sessions.erase(Found);
  }
  const std::lock_guard Lock(Session->Mutex);
  Session->Answer = std::move(Answer);
  Session->AnswerReady.notify_one();
}

std::size_t caller_frontend::waiting() const {
  const std::lock_guard Lock(Mutex);
  return Sessions.size();
}

http_response caller_frontend::announce(const http_request &Request) {
  if (Request.Method != "POST")
    return plainTextResponse(405, "an announcement is a POST\n");
  const auto Json = nlohmann::json::parse(Request.Body, nullptr, false);
  if (!Json.is_object())
    return plainTextResponse(400, "an announcement is a JSON object\n");
  upstream_announcement Upstream;
  std::int64_t Port = 0;
  try {
    Upstream.Service = Json.at("service").get<std::string>();
    Upstream.Address.Host = Json.at("host").get<std::string>();
    Port = Json.at("port").get<std::int64_t>();
    Upstream.IsCold = Json.value("cold", false);
  } catch (const nlohmann::json::exception &) {
    return plainTextResponse(400,
                             "an announcement needs service, host and port\n");
  }
  if (Upstream.Service.empty() ||
      Upstream.Service.size() > MaxServiceNameLength)
    return plainTextResponse(
        400, "the service's name has to have 1 to 48 characters\n");
  if (Port < 1 || Port > MaxPort)
    return plainTextResponse(400, "the port has to be 1 to 65535\n");
  Upstream.Address.Port = static_cast<std::uint16_t>(Port);
  Listener.upstreamAnnounced(Upstream);
  return plainTextResponse(200, "announced\n");
}

http_response caller_frontend::drain(const http_request &Request) {
  if (Request.Method != "POST")
    return plainTextResponse(405, "a drain is a POST\n");
  Listener.upstreamDrains();
  return plainTextResponse(200, "draining\n");
}

} // namespace clementine
