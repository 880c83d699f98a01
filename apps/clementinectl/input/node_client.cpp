#include "clementinectl/input/node_client.h"

#include <ulfius.h>

namespace clementine::ctl {

namespace {

constexpr unsigned long TimeoutSeconds = 3;
constexpr std::size_t LargestBody = 8UL * 1024 * 1024;
constexpr long StatusOk = 200;

/// Cleans up what ulfius allocates.
struct exchange {
  exchange() {
    ulfius_init_request(&Request);
    ulfius_init_response(&Response);
  }
  ~exchange() {
    ulfius_clean_request(&Request);
    ulfius_clean_response(&Response);
  }
  exchange(const exchange &) = delete;
  exchange &operator=(const exchange &) = delete;

  _u_request Request{};
  _u_response Response{};
};

/// Collects a body for libcurl, which ends the call when less is taken than
/// was offered.
std::size_t collect(void *Bytes, std::size_t Size, std::size_t Count,
                    void *Body) {
  auto &Text = *static_cast<std::string *>(Body);
  const std::size_t Offered = Size * Count;
  if (Text.size() + Offered > LargestBody)
    return 0;
  Text.append(static_cast<const char *>(Bytes), Offered);
  return Offered;
}

/// Sets the client of ulfius up for the rest of the process.
void prepareClient() {
  static const int Prepared = ulfius_global_init();
  static_cast<void>(Prepared);
}

} // namespace

std::string node_error::text() const {
  switch (Fault) {
  case fault::BadStatus:
    return "answered with status " + std::to_string(Status);
  case fault::NotJson:
    return "answered with something else than the expected JSON";
  case fault::Unreachable:
    break;
  }
  return "gave no answer";
}

result<std::string, node_error> fetchNode(const std::string &Node,
                                          const std::string &Path) {
  prepareClient();
  exchange Exchange;
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
