#include "clementine_http/server/http_server.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <exception>
#include <system_error>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <strings.h>
#include <unistd.h>

#include <ulfius.h>

namespace clementine {

namespace {

constexpr unsigned StatusTooLarge = 413;
constexpr unsigned StatusInternalError = 500;
constexpr std::chrono::milliseconds StopPollInterval{5};

/// Whether the request on this thread's connection counts as in progress: each
/// connection has a thread of its own.
thread_local bool IsInProgress = false;

header_map headersOf(const struct _u_map &Map) {
  header_map Headers;
  const char **Keys = u_map_enum_keys(&Map);
  for (std::size_t Index = 0; Keys != nullptr && Keys[Index] != nullptr;
       ++Index)
    Headers[Keys[Index]] = u_map_get(&Map, Keys[Index]);
  return Headers;
}

http_request requestOf(const struct _u_request &Raw) {
  http_request Request;
  Request.Method = Raw.http_verb;
  Request.Path = Raw.url_path == nullptr ? Raw.http_url : Raw.url_path;
  Request.Path = Request.Path.substr(0, Request.Path.find('?'));
  Request.Headers = headersOf(*Raw.map_header);
  if (Raw.binary_body_length > 0)
    Request.Body.assign(static_cast<const char *>(Raw.binary_body),
                        Raw.binary_body_length);
  return Request;
}

void write(const http_response &Response, struct _u_response &Raw) {
  for (const auto &[Key, Value] : Response.Headers)
    u_map_put(Raw.map_header, Key.c_str(), Value.c_str());
  ulfius_set_binary_body_response(&Raw, Response.Status, Response.Body.data(),
                                  Response.Body.size());
}

struct sockaddr_in addressOf(const endpoint &Listen) {
  struct sockaddr_in Address {};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Listen.Port);
  if (inet_pton(AF_INET, Listen.Host.c_str(), &Address.sin_addr) != 1)
    throw std::system_error(EINVAL, std::generic_category(), Listen.text());
  return Address;
}

} // namespace

bool header_name_less::operator()(std::string_view Left,
                                  std::string_view Right) const {
  const std::size_t Shared = std::min(Left.size(), Right.size());
  const int Order = strncasecmp(Left.data(), Right.data(), Shared);
  return Order != 0 ? Order < 0 : Left.size() < Right.size();
}

std::string http_request::header(std::string_view Name) const {
  const auto Found = Headers.find(std::string(Name));
  return Found == Headers.end() ? std::string() : Found->second;
}

/// The running server. Its ulfius instance must not move.
class http_server::implementation {
public:
  implementation(const http_server_settings &Settings, http_handler &Handler)
      : LargestBody(Settings.LargestBody), Handler(Handler),
        Address(addressOf(Settings.Listen)) {
    if (ulfius_init_instance(&Instance, Settings.Listen.Port, &Address,
                             nullptr) != U_OK)
      fail(Settings.Listen);
    // One byte more than allowed lets answer() detect a body that is too large.
    Instance.max_post_body_size = LargestBody + 1;
    Instance.allowed_post_processor = U_POST_PROCESS_NONE;
    Instance.check_utf8 = 0;
    ulfius_set_default_endpoint(&Instance, &implementation::answer, this);
    std::array<MHD_OptionItem, 6> Options = {{
        {MHD_OPTION_NOTIFY_COMPLETED,
         reinterpret_cast<intptr_t>(&implementation::completed), this},
        {MHD_OPTION_URI_LOG_CALLBACK,
         reinterpret_cast<intptr_t>(&ulfius_uri_logger), nullptr},
        {MHD_OPTION_SOCK_ADDR, 0, &Address},
        {MHD_OPTION_CONNECTION_LIMIT,
         static_cast<intptr_t>(Settings.MostConnections), nullptr},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
         static_cast<intptr_t>(Settings.ConnectionMemory), nullptr},
        {MHD_OPTION_END, 0, nullptr},
    }};
    Instance.timeout = static_cast<unsigned>(Settings.IdleLimit.count());
    const unsigned Flags = MHD_USE_THREAD_PER_CONNECTION |
                           MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                           MHD_USE_ITC;
    if (ulfius_start_framework_with_mhd_options(&Instance, Flags,
                                                Options.data()) != U_OK) {
      ulfius_clean_instance(&Instance);
      fail(Settings.Listen);
    }
  }

  /// Accepts no more connections and lets the responses in progress end.
  void finish(std::chrono::milliseconds Limit) {
    IsFinishing = true;
    const MHD_socket Listening = MHD_quiesce_daemon(Instance.mhd_daemon);
    const auto End = std::chrono::steady_clock::now() + Limit;
    while (InProgress > 0 && std::chrono::steady_clock::now() < End)
      std::this_thread::sleep_for(StopPollInterval);
    if (Listening != MHD_INVALID_SOCKET)
      ::close(Listening);
  }

  std::size_t inProgress() const { return InProgress; }

  ~implementation() {
    ulfius_stop_framework(&Instance);
    ulfius_clean_instance(&Instance);
  }

  implementation(const implementation &) = delete;
  implementation &operator=(const implementation &) = delete;

private:
  [[noreturn]] static void fail(const endpoint &Listen) {
    throw std::system_error(EADDRINUSE, std::generic_category(),
                            "cannot listen on " + Listen.text());
  }

  static int answer(const struct _u_request *Raw, struct _u_response *Response,
                    void *Self) {
    auto &Server = *static_cast<implementation *>(Self);
    ++Server.InProgress;
    IsInProgress = true;
    if (Server.IsFinishing)
      u_map_put(Response->map_header, "Connection", "close");
    if (Raw->binary_body_length > Server.LargestBody)
      write({StatusTooLarge, {}, "the body is too large\n"}, *Response);
    else
      write(Server.handled(*Raw), *Response);
    return U_CALLBACK_COMPLETE;
  }

  /// ulfius is a C library: an exception that passes through it ends the
  /// process.
  http_response handled(const struct _u_request &Raw) {
    try {
      return Handler.handle(requestOf(Raw));
    } catch (const std::exception &) {
      return {StatusInternalError, {}, "the request failed unexpectedly\n"};
    }
  }

  /// Called when the response to a request is written or its connection ends.
  static void completed(void *Self, struct MHD_Connection *Connection,
                        void **Context, enum MHD_RequestTerminationCode Code) {
    mhd_request_completed(nullptr, Connection, Context, Code);
    if (std::exchange(IsInProgress, false))
      --static_cast<implementation *>(Self)->InProgress;
  }

  const std::size_t LargestBody;
  std::atomic<std::size_t> InProgress{0};
  std::atomic<bool> IsFinishing{false};
  http_handler &Handler;
  struct sockaddr_in Address;
  struct _u_instance Instance {};
};

http_server::http_server(std::string Name, http_server_settings Settings,
                         http_handler &Handler)
    : Name(std::move(Name)), Settings(std::move(Settings)), Handler(Handler) {}

http_server::~http_server() = default;

void http_server::start() {
  Implementation = std::make_unique<implementation>(Settings, Handler);
}

void http_server::stop() {
  if (!Implementation)
    return;
  Implementation->finish(Settings.StopLimit);
  Implementation.reset();
}

std::size_t http_server::inProgress() const {
  return Implementation->inProgress();
}

} // namespace clementine
