#include "clementine_telemetry/spans/span_transport.h"

#include <curl/curl.h>

namespace clementine {

namespace {

constexpr long FirstSuccess = 200;
constexpr long LastSuccess = 299;

std::size_t discard(char * /*Data*/, std::size_t Size, std::size_t Count,
                    void * /*User*/) {
  return Size * Count;
}

long milliseconds(duration Span) {
  return static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Span).count());
}

} // namespace

struct http_span_transport::handle {
  handle() : Curl(curl_easy_init()) {
    Headers = curl_slist_append(Headers, "Content-Type: application/json");
    // Without this, curl waits for "100 Continue" before larger bodies.
    Headers = curl_slist_append(Headers, "Expect:");
  }
  ~handle() {
    curl_easy_cleanup(Curl);
    curl_slist_free_all(Headers);
  }
  handle(const handle &) = delete;
  handle &operator=(const handle &) = delete;

  CURL *Curl;
  curl_slist *Headers = nullptr;
};

http_span_transport::http_span_transport(const std::string &Url,
                                         duration Timeout)
    : Handle(std::make_unique<handle>()) {
  CURL *Curl = Handle->Curl;
  curl_easy_setopt(Curl, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(Curl, CURLOPT_HTTPHEADER, Handle->Headers);
  curl_easy_setopt(Curl, CURLOPT_TIMEOUT_MS, milliseconds(Timeout));
  curl_easy_setopt(Curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Curl, CURLOPT_WRITEFUNCTION, &discard);
}

http_span_transport::~http_span_transport() = default;

result<void, span_transport_failure>
http_span_transport::post(const std::string &Body) {
  CURL *Curl = Handle->Curl;
  curl_easy_setopt(Curl, CURLOPT_POSTFIELDS, Body.data());
  curl_easy_setopt(Curl, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(Body.size()));
  if (curl_easy_perform(Curl) != CURLE_OK)
    return span_transport_failure{span_transport_fault::Unreachable, 0};
  long Status = 0;
  curl_easy_getinfo(Curl, CURLINFO_RESPONSE_CODE, &Status);
  if (Status < FirstSuccess || Status > LastSuccess)
    return span_transport_failure{span_transport_fault::Refused, Status};
  return success();
}

} // namespace clementine
