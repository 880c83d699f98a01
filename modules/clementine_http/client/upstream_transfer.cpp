#include "clementine_http/client/upstream_transfer.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace clementine {

namespace {

constexpr std::uint16_t StatusUnavailable = 503;
constexpr std::string_view OutcomeHeader = "clementine-outcome";
constexpr std::string_view NotRunOutcome = "not-run";
constexpr std::size_t LargestAnswerBody = std::size_t{1} << 20U;

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Lower;
}

std::string_view trimmed(std::string_view Text) {
  constexpr std::string_view Whitespace = " \t\r\n";
  const auto Begin = Text.find_first_not_of(Whitespace);
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(Whitespace) - Begin + 1);
}

/// @returns whether a header field applies to one connection only (RFC 9110,
/// section 7.6.1) or is written by this hop itself.
bool isHopByHop(std::string_view LowerName) {
  static constexpr std::array<std::string_view, 7> Names = {
      "connection", "keep-alive", "transfer-encoding", "content-length",
      "date",       "upgrade",    "proxy-connection"};
  return std::find(Names.begin(), Names.end(), LowerName) != Names.end();
}

} // namespace

upstream_transfer::upstream_transfer(upstream_call Call,
                                     const endpoint &Address,
                                     const upstream_client_settings &Settings)
    : Call(std::move(Call)), Easy(curl_easy_init()) {
  addHeaders();
  const std::string Url =
      "http://" + Address.text() + "/" + this->Call.Operation;
  const std::string &Method = this->Call.Payload.Method;
  CURL *Handle = Easy.get();
  curl_easy_setopt(Handle, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Method.c_str());
  if (Method == "HEAD")
    curl_easy_setopt(Handle, CURLOPT_NOBODY, 1L);
  if (!this->Call.Payload.Body.empty() || Method == "POST")
    setBody();
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Headers.get());
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(Settings.ConnectTimeout.count()));
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS, timeoutMilliseconds());
  curl_easy_setopt(Handle, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(Settings.LongestIdle.count()));
  curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, &upstream_transfer::begin);
  curl_easy_setopt(Handle, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION,
                   &upstream_transfer::receiveHeader);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION,
                   &upstream_transfer::receiveBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, this);
}

upstream_result upstream_transfer::resultOf(CURLcode Code) {
  upstream_result Result;
  Result.Token = Call.Token;
  if (SendAttempts == 0) {
    Result.End = upstream_outcome::NotSent;
    return Result;
  }
  if (Code != CURLE_OK || TooLarge || !isFramed())
    return Result;
  if (Answer.Status == StatusUnavailable && IsMarkedNotRun) {
    Result.End = upstream_outcome::Refused;
    return Result;
  }
  Result.End = upstream_outcome::Answered;
  Result.Answer = std::move(Answer);
  return Result;
}

void upstream_transfer::addHeader(const std::string &Line) {
  Headers.reset(curl_slist_append(Headers.release(), Line.c_str()));
}

void upstream_transfer::addHeaders() {
  for (const header_field &Header : Call.Payload.Headers)
    addHeader(Header.Name + ": " + Header.Value);
  const request_context &Context = Call.Context;
  addHeader("Clementine-Request: " + Call.Token.text());
  addHeader("Idempotency-Key: " + Context.Key);
  addHeader("Clementine-Timeout-Ms: " +
            std::to_string(Context.RemainingMicroseconds / 1000));
  addHeader("Clementine-Importance: " +
            std::string(importanceName(Context.Importance)));
  if (!Context.TraceParent.empty())
    addHeader("traceparent: " + Context.TraceParent);
  // Without this, libcurl waits for a 100 Continue, which few servers send.
  addHeader("Expect:");
}

void upstream_transfer::setBody() {
  CURL *Handle = Easy.get();
  const std::string &Body = Call.Payload.Body;
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(Body.size()));
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Body.data());
}

long upstream_transfer::timeoutMilliseconds() const {
  const auto Whole = std::chrono::ceil<std::chrono::milliseconds>(Call.Timeout);
  return std::max<long>(1, static_cast<long>(Whole.count()));
}

int upstream_transfer::begin(void *Self, char *, char *, int, int) {
  auto &Transfer = *static_cast<upstream_transfer *>(Self);
  ++Transfer.SendAttempts;
  return Transfer.SendAttempts == 1 ? CURL_PREREQFUNC_OK
                                    : CURL_PREREQFUNC_ABORT;
}

std::size_t upstream_transfer::receiveHeader(char *Data, std::size_t Size,
                                             std::size_t Count, void *Self) {
  const std::string_view Line(Data, Size * Count);
  return static_cast<upstream_transfer *>(Self)->acceptLine(Line) ? Line.size()
                                                                  : 0;
}

bool upstream_transfer::acceptLine(std::string_view Line) {
  long Status = 0;
  curl_easy_getinfo(Easy.get(), CURLINFO_RESPONSE_CODE, &Status);
  switch (LineCheck.next(Line, static_cast<unsigned>(Status))) {
  case response_line::Status:
    Answer = {};
    Answer.Status = static_cast<std::uint16_t>(Status);
    Length.clear();
    IsChunked = IsMarkedNotRun = false;
    return true;
  case response_line::Field:
    return acceptField(Line);
  case response_line::End:
    return true;
  case response_line::Invalid:
    break;
  }
  return false;
}

bool upstream_transfer::acceptField(std::string_view Line) {
  const auto Colon = Line.find(':');
  const std::string Name(Line.substr(0, Colon));
  const std::string Value(trimmed(Line.substr(Colon + 1)));
  const std::string Lower = lowerCase(Name);
  if (Lower == "content-length") {
    if (!Length.empty() && Length != Value)
      return false;
    Length = Value;
  }
  IsChunked =
      IsChunked || (Lower == "transfer-encoding" &&
                    lowerCase(Value).find("chunked") != std::string::npos);
  IsMarkedNotRun = IsMarkedNotRun || (Lower == OutcomeHeader &&
                                      lowerCase(Value) == NotRunOutcome);
  if (!isHopByHop(Lower) && !Lower.starts_with("clementine-"))
    Answer.Headers.push_back({Name, Value});
  return true;
}

std::size_t upstream_transfer::receiveBody(char *Data, std::size_t Size,
                                           std::size_t Count, void *Self) {
  auto &Transfer = *static_cast<upstream_transfer *>(Self);
  const std::size_t Bytes = Size * Count;
  if (Transfer.Answer.Body.size() + Bytes > LargestAnswerBody) {
    Transfer.TooLarge = true;
    return 0;
  }
  Transfer.Answer.Body.append(Data, Bytes);
  return Bytes;
}

bool upstream_transfer::isFramed() const {
  constexpr std::uint16_t NoContent = 204;
  constexpr std::uint16_t NotModified = 304;
  return !Length.empty() || IsChunked || Call.Payload.Method == "HEAD" ||
         Answer.Status == NoContent || Answer.Status == NotModified;
}

} // namespace clementine
