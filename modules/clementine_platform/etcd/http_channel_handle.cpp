#include "clementine_platform/etcd/http_channel_handle.h"

#include <algorithm>
#include <cassert>
#include <cstring>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace clementine {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// How often a stream checks its stop flag.
constexpr milliseconds StopCheckInterval(50);

constexpr long HttpOk = 200;

/// A dead connection is detected after KeepaliveIdleSeconds without data and
/// KeepaliveProbes unanswered probes, KeepaliveIntervalSeconds apart. A change
/// that was confirmed meanwhile has to be in force within 3 s, and a connection
/// that was given up in vain costs one call.
constexpr long KeepaliveIdleSeconds = 1;
constexpr long KeepaliveIntervalSeconds = 1;
constexpr int KeepaliveProbes = 1;

} // namespace

http_channel::handle::handle(const limits &Limits,
                             const std::string &WantedHeader,
                             const std::atomic<bool> &Interrupted)
    : Limits(Limits), WantedHeader(WantedHeader), Interrupted(Interrupted),
      Easy(curl_easy_init()), Multi(curl_multi_init()) {
  assert(Easy != nullptr && Multi != nullptr && "libcurl is out of memory");
  Headers = curl_slist_append(nullptr, "Content-Type: application/json");
  // Without this, libcurl waits for "100 Continue" before a large body.
  Headers = curl_slist_append(Headers, "Expect:");
}

http_channel::handle::~handle() {
  curl_easy_cleanup(Easy);
  curl_multi_cleanup(Multi);
  curl_slist_free_all(Headers);
}

result<http_channel::answer, platform_error>
http_channel::handle::post(const std::string &Url, const std::string &Body) {
  prepare(Url, Body);
  return performCall(Limits.CallTimeout);
}

result<http_channel::answer, platform_error>
http_channel::handle::get(const std::string &Url, duration CallTimeout,
                          const std::atomic<bool> *Stopping) {
  prepare(Url, "");
  curl_easy_setopt(Easy, CURLOPT_HTTPGET, 1L);
  if (Stopping != nullptr) {
    this->Stopping = Stopping;
    // On a reused connection libcurl would retry a failed call by itself, and
    // the caller of a long poll would not be notified of the failure.
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
  }
  return performCall(CallTimeout > duration(0) ? CallTimeout
                                               : Limits.CallTimeout);
}

result<http_channel::answer, platform_error>
http_channel::handle::remove(const std::string &Url) {
  prepare(Url, "");
  curl_easy_setopt(Easy, CURLOPT_HTTPGET, 1L);
  curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, "DELETE");
  return performCall(Limits.CallTimeout);
}

result<void, platform_error>
http_channel::handle::stream(const std::string &Url, const std::string &Body,
                             const line_listener &Lines,
                             const std::atomic<bool> &Stopping) {
  prepare(Url, Body);
  Listener = &Lines;
  LastReceiveTime = std::chrono::steady_clock::now();
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &handle::appendLines);
  curl_multi_add_handle(Multi, Easy);
  const auto Code = performStream(Stopping);
  curl_multi_remove_handle(Multi, Easy);
  if (StoppedByListener || Stopping)
    return success();
  if (Code == CURLE_OK && status() != HttpOk)
    return platform_error{platform_cause::Refused, platform_effect::NotApplied,
                          status(), std::move(Received)};
  if (Code == CURLE_OK)
    return platform_error{platform_cause::Interrupted,
                          platform_effect::NotApplied, status(),
                          "the server closed the stream"};
  platform_error Failure = failureOf(Code);
  // A stream does not change stored data.
  Failure.Effect = platform_effect::NotApplied;
  return Failure;
}

result<http_channel::answer, platform_error>
http_channel::handle::performCall(duration CallTimeout) {
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   duration_cast<milliseconds>(CallTimeout).count());
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &handle::appendBody);
  const CURLcode Code = curl_easy_perform(Easy);
  if (Code != CURLE_OK)
    return failureOf(Code);
  return answer{status(), std::move(Received), wantedHeader()};
}

std::string http_channel::handle::wantedHeader() const {
  curl_header *Found = nullptr;
  constexpr int LastRequest = -1;
  if (WantedHeader.empty() ||
      curl_easy_header(Easy, WantedHeader.c_str(), 0, CURLH_HEADER, LastRequest,
                       &Found) != CURLHE_OK)
    return {};
  return Found->value;
}

int http_channel::handle::shouldAbort(void *User, curl_off_t /*DownloadTotal*/,
                                      curl_off_t /*Downloaded*/,
                                      curl_off_t /*UploadTotal*/,
                                      curl_off_t /*Uploaded*/) {
  const auto &Self = *static_cast<const handle *>(User);
  return Self.Interrupted || (Self.Stopping != nullptr && *Self.Stopping) ? 1
                                                                          : 0;
}

int http_channel::handle::limitKeepaliveProbes(void * /*User*/,
                                               curl_socket_t Socket,
                                               curlsocktype /*Purpose*/) {
  // A failure only delays the detection of a dead connection.
  (void)::setsockopt(Socket, IPPROTO_TCP, TCP_KEEPCNT, &KeepaliveProbes,
                     sizeof(KeepaliveProbes));
  return CURL_SOCKOPT_OK;
}

void http_channel::handle::prepare(const std::string &Url,
                                   const std::string &Body) {
  curl_easy_reset(Easy);
  Received.clear();
  LineCheck = {};
  IsMalformed = false;
  TooLarge = false;
  StoppedByListener = false;
  Listener = nullptr;
  Stopping = nullptr;
  ErrorText[0] = '\0';
  curl_easy_setopt(Easy, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_POST, 1L);
  // libcurl resends a request by itself if a reused connection closes before
  // the first byte of the response. This could apply a write twice, so the
  // body is read once and cannot be rewound.
  Unsent = Body;
  curl_easy_setopt(Easy, CURLOPT_READFUNCTION, &handle::readBody);
  curl_easy_setopt(Easy, CURLOPT_READDATA, this);
  curl_easy_setopt(Easy, CURLOPT_SEEKFUNCTION, &handle::refuseRewind);
  curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(Body.size()));
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Headers);
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(Easy, CURLOPT_TCP_KEEPIDLE, KeepaliveIdleSeconds);
  curl_easy_setopt(Easy, CURLOPT_TCP_KEEPINTVL, KeepaliveIntervalSeconds);
  curl_easy_setopt(Easy, CURLOPT_SOCKOPTFUNCTION,
                   &handle::limitKeepaliveProbes);
  curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                   duration_cast<milliseconds>(Limits.ConnectTimeout).count());
  curl_easy_setopt(Easy, CURLOPT_ERRORBUFFER, ErrorText.data());
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &handle::checkLine);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(Easy, CURLOPT_XFERINFOFUNCTION, &handle::shouldAbort);
  curl_easy_setopt(Easy, CURLOPT_XFERINFODATA, this);
  curl_easy_setopt(Easy, CURLOPT_NOPROGRESS, 0L);
}

CURLcode
http_channel::handle::performStream(const std::atomic<bool> &Stopping) {
  int Running = 1;
  while (Running > 0 && !Stopping) {
    if (curl_multi_perform(Multi, &Running) != CURLM_OK)
      return CURLE_FAILED_INIT;
    if (Running == 0)
      break;
    const auto IdleTime = std::chrono::steady_clock::now() - LastReceiveTime;
    if (IdleTime > Limits.StreamIdleTimeout)
      return CURLE_OPERATION_TIMEDOUT;
    curl_multi_poll(Multi, nullptr, 0,
                    static_cast<int>(StopCheckInterval.count()), nullptr);
  }
  int Left = 0;
  const CURLMsg *Message = curl_multi_info_read(Multi, &Left);
  return Message == nullptr ? CURLE_OK : Message->data.result;
}

long http_channel::handle::status() const {
  long Status = 0;
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
  return Status;
}

bool http_channel::handle::wasSent() const {
  curl_off_t Sent = 0;
  long HeaderBytes = 0;
  curl_easy_getinfo(Easy, CURLINFO_SIZE_UPLOAD_T, &Sent);
  curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &HeaderBytes);
  return Sent > 0 || HeaderBytes > 0;
}

platform_error http_channel::handle::failureOf(CURLcode Code) const {
  platform_error Failure{platform_cause::Interrupted,
                         wasSent() ? platform_effect::Unknown
                                   : platform_effect::NotApplied,
                         status(), ErrorText.data()};
  if (Failure.Detail.empty())
    Failure.Detail = curl_easy_strerror(Code);
  switch (Code) {
  case CURLE_OPERATION_TIMEDOUT:
    Failure.Cause = platform_cause::TimedOut;
    break;
  case CURLE_WRITE_ERROR:
    if (TooLarge)
      Failure.Cause = platform_cause::AnswerTooLarge;
    else if (IsMalformed)
      Failure.Cause = platform_cause::MalformedAnswer;
    break;
  case CURLE_UNSUPPORTED_PROTOCOL:
  case CURLE_WEIRD_SERVER_REPLY:
  case CURLE_BAD_CONTENT_ENCODING:
    Failure.Cause = platform_cause::MalformedAnswer;
    break;
  default:
    break;
  }
  if (Failure.Effect == platform_effect::NotApplied)
    Failure.Cause = platform_cause::Unreachable;
  return Failure;
}

std::size_t http_channel::handle::checkLine(char *Bytes, std::size_t Size,
                                            std::size_t Count, void *User) {
  auto &Self = *static_cast<handle *>(User);
  std::string_view Line(Bytes, Size * Count);
  const auto Status = static_cast<unsigned>(Self.status());
  Self.IsMalformed =
      Self.LineCheck.next(Line, Status) == response_line::Invalid;
  return Self.IsMalformed ? 0 : Size * Count;
}

std::size_t http_channel::handle::readBody(char *Buffer, std::size_t Size,
                                           std::size_t Count, void *User) {
  auto &Self = *static_cast<handle *>(User);
  const std::size_t Length = std::min(Size * Count, Self.Unsent.size());
  std::memcpy(Buffer, Self.Unsent.data(), Length);
  Self.Unsent.remove_prefix(Length);
  return Length;
}

int http_channel::handle::refuseRewind(void * /*User*/, curl_off_t /*Offset*/,
                                       int /*Origin*/) {
  return CURL_SEEKFUNC_FAIL;
}

std::size_t http_channel::handle::appendBody(char *Bytes, std::size_t Size,
                                             std::size_t Count, void *User) {
  auto &Self = *static_cast<handle *>(User);
  const std::size_t Length = Size * Count;
  if (Self.Received.size() + Length > Self.Limits.LargestAnswer) {
    Self.TooLarge = true;
    return 0;
  }
  Self.Received.append(Bytes, Length);
  return Length;
}

std::size_t http_channel::handle::appendLines(char *Bytes, std::size_t Size,
                                              std::size_t Count, void *User) {
  auto &Self = *static_cast<handle *>(User);
  const std::size_t Length = Size * Count;
  Self.LastReceiveTime = std::chrono::steady_clock::now();
  Self.Received.append(Bytes, Length);
  if (Self.status() == HttpOk && !Self.deliverLines())
    return 0;
  Self.TooLarge = Self.Received.size() > Self.Limits.LargestAnswer;
  return Self.TooLarge ? 0 : Length;
}

bool http_channel::handle::deliverLines() {
  std::size_t Begin = 0;
  for (std::size_t End = Received.find('\n'); End != std::string::npos;
       End = Received.find('\n', Begin)) {
    const std::string_view Line(Received.data() + Begin, End - Begin);
    Begin = End + 1;
    if (Line.empty())
      continue;
    if (!(*Listener)(Line)) {
      StoppedByListener = true;
      return false;
    }
  }
  Received.erase(0, Begin);
  return true;
}

} // namespace clementine
