#include "clementine_platform/etcd/http_channel.h"

#include "clementine_platform/etcd/http_channel_handle.h"

#include <curl/curl.h>

#include <cassert>
#include <utility>

namespace clementine {

namespace {

/// The maximum number of idle connections kept.
constexpr std::size_t MaxIdleConnections = 4;

void initializeLibrary() {
  // curl_global_init() is not thread-safe; a static variable is initialized
  // by one thread only.
  static const CURLcode Initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  assert(Initialized == CURLE_OK && "libcurl could not be initialized");
  (void)Initialized;
}

} // namespace

http_channel::http_channel(std::string BaseUrl, limits Limits,
                           std::string WantedHeader)
    : BaseUrl(std::move(BaseUrl)), Limits(Limits),
      WantedHeader(std::move(WantedHeader)) {
  initializeLibrary();
}

http_channel::~http_channel() = default;

result<http_channel::answer, platform_error>
http_channel::post(const std::string &Path, const std::string &Body) {
  if (Body.size() > Limits.LargestRequest)
    return platform_error{platform_cause::RequestTooLarge,
                          platform_effect::NotApplied, 0, ""};
  auto Handle = acquireHandle();
  auto Answer = Handle->post(BaseUrl + Path, Body);
  releaseHandle(std::move(Handle), Answer.has_value());
  return Answer;
}

result<http_channel::answer, platform_error>
http_channel::get(const std::string &Path, duration CallTimeout,
                  const std::atomic<bool> *Stopping) {
  auto Handle = acquireHandle();
  auto Answer = Handle->get(BaseUrl + Path, CallTimeout, Stopping);
  releaseHandle(std::move(Handle), Answer.has_value());
  if (!Answer) {
    // A read does not change stored data.
    platform_error Error = Answer.error();
    Error.Effect = platform_effect::NotApplied;
    return Error;
  }
  return Answer;
}

result<http_channel::answer, platform_error>
http_channel::remove(const std::string &Path) {
  auto Handle = acquireHandle();
  auto Answer = Handle->remove(BaseUrl + Path);
  releaseHandle(std::move(Handle), Answer.has_value());
  return Answer;
}

result<void, platform_error>
http_channel::stream(const std::string &Path, const std::string &Body,
                     const line_listener &Listener,
                     const std::atomic<bool> &Stopping) {
  // The connection is closed with the stream, so the handle is not reused.
  handle Handle(Limits, WantedHeader, Interrupted);
  return Handle.stream(BaseUrl + Path, Body, Listener, Stopping);
}

std::unique_ptr<http_channel::handle> http_channel::acquireHandle() {
  const std::lock_guard Lock(Mutex);
  if (Idle.empty())
    return std::make_unique<handle>(Limits, WantedHeader, Interrupted);
  auto Handle = std::move(Idle.back());
  Idle.pop_back();
  return Handle;
}

void http_channel::releaseHandle(std::unique_ptr<handle> Handle,
                                 bool IsAnswered) {
  std::vector<std::unique_ptr<handle>> Dropped;
  const std::lock_guard Lock(Mutex);
  if (!IsAnswered)
    Dropped.swap(Idle);
  else if (Idle.size() < MaxIdleConnections)
    Idle.push_back(std::move(Handle));
}

} // namespace clementine
