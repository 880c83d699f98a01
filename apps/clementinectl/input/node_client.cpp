#include "clementinectl/input/node_client.h"

#include <ulfius.h>

namespace clementine::ctl {

namespace {

constexpr unsigned long TimeoutSeconds = 3;
constexpr std::size_t MaxBodyBytes = 8UL * 1024 * 1024;
constexpr long StatusOk = 200;

/// A request and its response; releases the memory that ulfius allocates.
struct http_exchange {
  http_exchange() {
    ulfius_init_request(&Request);
    ulfius_init_response(&Response);
  }
  ~http_exchange() {
    ulfius_clean_request(&Request);
    ulfius_clean_response(&Response);
  }
  http_exchange(const http_exchange &) = delete;
  http_exchange &operator=(const http_exchange &) = delete;

  _u_request Request{};
  _u_response Response{};
};

/// Appends received bytes to the body. libcurl aborts the transfer if fewer
/// bytes are consumed than were received.
std::size_t collect(void *Bytes, std::size_t Size, std::size_t Count,
                    void *Body) {
  auto &Text = *static_cast<std::string *>(Body);
  const std::size_t Received = Size * Count;
  if (Text.size() + Received > MaxBodyBytes)
    return 0;
  Text.append(static_cast<const char *>(Bytes), Received);
  return Received;
}

/// Initialises the client of ulfius once per process.
void initialiseClient() {
  static const int Prepared = ulfius_global_init();
  static_cast<void>(Prepared);
}

} // namespace

std::string node_error::text() const {
  switch (Fault) {
  case fault::BadStatus:
    return "answered with status " + std::to_string(Status);
  case fault::NotJson:
    return "returned a response that is not the expected JSON";
  case fault::Unreachable:
    break;
  }
  return "gave no answer";
}

result<std::string, node_error> fetchNode(const std::string &Node,
                                          const std::string &Path) {
  initialiseClient();
  http_exchange Exchange;
  const std::string Url = "http://" + Node + Path;
  ulfius_set_request_properties(&Exchange.Request, U_OPT_HTTP_VERB, "GET",
                                U_OPT_HTTP_URL, Url.c_str(), U_OPT_TIMEOUT,
                                TimeoutSeconds, U_OPT_NONE);
  std::string Body;
  const int Sent = ulfius_send_http_streaming_request(
      &Exchange.Request, &Exchange.Response, collect, &Body);
  if (Sent != U_OK)
    return node_error{node_error::fault::Unreachable, 0};
  if (Exchange.Response.status != StatusOk)
    return node_error{node_error::fault::BadStatus, Exchange.Response.status};
  return Body;
}

} // namespace clementine::ctl
