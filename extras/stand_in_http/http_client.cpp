#include "stand_in_http/http_client.h"

#include <curl/curl.h>
#include <strings.h>

#include <algorithm>
#include <cstring>
#include <string_view>

namespace clementine::stand_in {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// The largest answer body accepted, in bytes.
constexpr std::size_t MaxAnswerBytes = std::size_t{64} << 20U;

constexpr const char *OutcomeField = "clementine-outcome";

} // namespace

/// A libcurl easy handle with its connection.
class http_client::handle {
public:
  handle() : Easy(curl_easy_init()) {}
  ~handle() { curl_easy_cleanup(Easy); }

  handle(const handle &) = delete;
  handle &operator=(const handle &) = delete;

  std::optional<answer> call(const std::string &Method, const std::string &Url,
                             const std::vector<std::string> &Headers,
                             const std::string *Body, duration Timeout,
                             connection Connection) {
    curl_easy_reset(Easy);
    Received = {};
    curl_slist *List = nullptr;
    for (const std::string &Header : Headers)
      List = curl_slist_append(List, Header.c_str());
    List = curl_slist_append(List, "Expect:");
    curl_easy_setopt(Easy, CURLOPT_URL, Url.c_str());
    curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, List);
    const long IsSingleUse = Connection == connection::SingleUse ? 1 : 0;
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, IsSingleUse);
    curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, IsSingleUse);
    curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Easy, CURLOPT_PROXY, "");
    const auto Allowed = duration_cast<milliseconds>(Timeout).count();
    curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(std::max<long>(1, Allowed)));
    curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &handle::appendBody);
    curl_easy_setopt(Easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &handle::storeHeader);
    curl_easy_setopt(Easy, CURLOPT_HEADERDATA, this);
    if (Body != nullptr) {
      Unsent = *Body;
      curl_easy_setopt(Easy, CURLOPT_POST, 1L);
      curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(Body->size()));
      curl_easy_setopt(Easy, CURLOPT_READFUNCTION, &handle::readBody);
      curl_easy_setopt(Easy, CURLOPT_READDATA, this);
      curl_easy_setopt(Easy, CURLOPT_SEEKFUNCTION, &handle::refuseRewind);
    }
    curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Method.c_str());
    const CURLcode Code = curl_easy_perform(Easy);
    curl_slist_free_all(List);
    if (Code != CURLE_OK)
      return std::nullopt;
    curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Received.Status);
    return std::move(Received);
  }

private:
  static std::size_t readBody(char *Buffer, std::size_t Size, std::size_t Count,
                              void *User) {
    auto &Self = *static_cast<handle *>(User);
    const std::size_t Length = std::min(Size * Count, Self.Unsent.size());
    std::memcpy(Buffer, Self.Unsent.data(), Length);
    Self.Unsent.remove_prefix(Length);
    return Length;
  }

  static int refuseRewind(void * /*User*/, curl_off_t /*Offset*/,
                          int /*Origin*/) {
    return CURL_SEEKFUNC_FAIL;
  }

  static std::size_t appendBody(char *Bytes, std::size_t Size,
                                std::size_t Count, void *User) {
    auto &Self = *static_cast<handle *>(User);
    const std::size_t Length = Size * Count;
    if (Self.Received.Body.size() + Length > MaxAnswerBytes)
      return 0;
    Self.Received.Body.append(Bytes, Length);
    return Length;
  }

  static std::size_t storeHeader(char *Bytes, std::size_t Size,
                                 std::size_t Count, void *User) {
    auto &Self = *static_cast<handle *>(User);
    const std::string_view Line(Bytes, Size * Count);
    const std::size_t Colon = Line.find(':');
    const std::size_t First = Line.find_first_not_of(' ', Colon + 1);
    const std::size_t Last = Line.find_last_not_of(" \r\n");
    if (Colon == std::string_view::npos || First == std::string_view::npos ||
        First > Last || Last == std::string_view::npos)
      return Size * Count;
    const std::string Name(Line.substr(0, Colon));
    const std::string Value(Line.substr(First, Last - First + 1));
    if (::strcasecmp(Name.c_str(), OutcomeField) == 0)
      Self.Received.Outcome = Value;
    Self.Received.Headers[Name] = Value;
    return Size * Count;
  }

  CURL *const Easy;
  std::string_view Unsent;
  answer Received;
};

http_client::http_client() {
  static const CURLcode Initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)Initialized;
}

http_client::~http_client() = default;

std::optional<http_client::answer>
http_client::post(const std::string &Url,
                  const std::vector<std::string> &Headers,
                  const std::string &Body, duration Timeout) {
  return send("POST", Url, Headers, Body, Timeout, connection::Persistent);
}

std::optional<http_client::answer>
http_client::send(const std::string &Method, const std::string &Url,
                  const std::vector<std::string> &Headers,
                  const std::string &Body, duration Timeout,
                  connection Connection) {
  auto Handle = acquireHandle();
  const bool HasBody = !Body.empty() || Method == "POST";
  auto Answer = Handle->call(Method, Url, Headers, HasBody ? &Body : nullptr,
                             Timeout, Connection);
  releaseHandle(std::move(Handle));
  return Answer;
}

std::optional<http_client::answer> http_client::get(const std::string &Url,
                                                    duration Timeout) {
  return send("GET", Url, {}, "", Timeout, connection::Persistent);
}

std::unique_ptr<http_client::handle> http_client::acquireHandle() {
  const std::lock_guard Lock(Mutex);
  if (Idle.empty())
    return std::make_unique<handle>();
  auto Handle = std::move(Idle.back());
  Idle.pop_back();
  return Handle;
}

void http_client::releaseHandle(std::unique_ptr<handle> Handle) {
  const std::lock_guard Lock(Mutex);
  Idle.push_back(std::move(Handle));
}

} // namespace clementine::stand_in
