#include "stand_in_http/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <strings.h>
#include <ulfius.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace clementine::stand_in {

namespace {

constexpr unsigned StatusTooLarge = 413;
constexpr std::size_t StreamBlockSize = 16384;

/// The body of an answer that is streamed from a body_source.
class streamed_body {
public:
  explicit streamed_body(body_source Source) : Source(std::move(Source)) {}

  ssize_t read(char *Buffer, std::size_t Capacity) {
    while (Pending.empty()) {
      auto Piece = Source();
      if (!Piece)
        return U_STREAM_END;
      Pending = std::move(*Piece);
    }
    const std::size_t Length = std::min(Capacity, Pending.size());
    std::copy_n(Pending.data(), Length, Buffer);
    Pending.erase(0, Length);
    return static_cast<ssize_t>(Length);
  }

  static ssize_t readCallback(void *Self, std::uint64_t /*Offset*/,
                              char *Buffer, std::size_t Capacity) {
    return static_cast<streamed_body *>(Self)->read(Buffer, Capacity);
  }

  static void freeCallback(void *Self) {
    delete static_cast<streamed_body *>(Self);
  }

private:
  const body_source Source;
  std::string Pending;
};

/// Sends the first half of a body and then closes the connection.
class truncated_body {
public:
  explicit truncated_body(const std::string &Body)
      : Pending(Body.substr(0, Body.size() / 2)) {}

  static ssize_t readCallback(void *User, std::uint64_t /*Offset*/,
                              char *Buffer, std::size_t Capacity) {
    auto &Self = *static_cast<truncated_body *>(User);
    if (Self.Pending.empty())
      return U_STREAM_ERROR;
    const std::size_t Length = std::min(Capacity, Self.Pending.size());
    std::copy_n(Self.Pending.data(), Length, Buffer);
    Self.Pending.erase(0, Length);
    return static_cast<ssize_t>(Length);
  }

  static void freeCallback(void *Self) {
    delete static_cast<truncated_body *>(Self);
  }

private:
  std::string Pending;
};

http_request requestFrom(const _u_request &Raw) {
  http_request Request;
  Request.Method = Raw.http_verb;
  Request.Path = Raw.url_path;
  if (Raw.binary_body_length > 0)
    Request.Body.assign(static_cast<const char *>(Raw.binary_body),
                        Raw.binary_body_length);
  for (int Index = 0; Index < Raw.map_header->nb_values; ++Index)
    Request.Headers.emplace_back(Raw.map_header->keys[Index],
                                 Raw.map_header->values[Index]);
  for (int Index = 0; Index < Raw.map_url->nb_values; ++Index)
    Request.Query[Raw.map_url->keys[Index]] = Raw.map_url->values[Index];
  return Request;
}

void fill(_u_response &Raw, http_answer Answer) {
  for (const auto &[Name, Value] : Answer.Headers)
    u_map_put(Raw.map_header, Name.c_str(), Value.c_str());
  if (Answer.Stream) {
    ulfius_set_stream_response(
        &Raw, Answer.Status, &streamed_body::readCallback,
        &streamed_body::freeCallback, U_STREAM_SIZE_UNKNOWN, StreamBlockSize,
        new streamed_body(std::move(Answer.Stream)));
    return;
  }
  if (Answer.IsTruncated) {
    const std::uint64_t Length = Answer.Body.size();
    ulfius_set_stream_response(
        &Raw, Answer.Status, &truncated_body::readCallback,
        &truncated_body::freeCallback, Length, StreamBlockSize,
        new truncated_body(Answer.Body));
    return;
  }
  ulfius_set_binary_body_response(&Raw, Answer.Status, Answer.Body.data(),
                                  Answer.Body.size());
}

} // namespace

std::string http_request::header(const std::string &Name) const {
  for (const auto &[Key, Value] : Headers)
    if (::strcasecmp(Key.c_str(), Name.c_str()) == 0)
      return Value;
  return {};
}

struct http_server::state {
  explicit state(handler Handler) : Handler(std::move(Handler)) {}

  static int onRequest(const _u_request *Raw, _u_response *Response,
                       void *User) {
    const auto &Self = *static_cast<state *>(User);
    if (Raw->binary_body_length > Self.LargestBody) {
      fill(*Response, {StatusTooLarge, "", {}, {}, false});
      return U_CALLBACK_COMPLETE;
    }
    try {
      fill(*Response, Self.Handler(requestFrom(*Raw)));
      return U_CALLBACK_COMPLETE;
    } catch (const std::exception &) {
      // ulfius is a C library, so no exception may propagate through it.
      return U_CALLBACK_ERROR;
    }
  }

  const handler Handler;
  std::size_t LargestBody = 0;
  sockaddr_in Address{};
  _u_instance Instance{};
  bool IsRunning = false;
};

http_server::http_server(const endpoint &Listen, limits Limits, handler Handler)
    : State(std::make_unique<state>(std::move(Handler))) {
  State->LargestBody = Limits.LargestBody;
  State->Address.sin_family = AF_INET;
  State->Address.sin_port = htons(Listen.Port);
  if (::inet_pton(AF_INET, Listen.Host.c_str(), &State->Address.sin_addr) != 1)
    throw http_server_error("not an IPv4 address: " + Listen.Host);
  if (ulfius_init_instance(&State->Instance, Listen.Port, &State->Address,
                           nullptr) != U_OK)
    throw http_server_error("ulfius could not be initialised for " +
                            Listen.text());
  State->Instance.allowed_post_processor = U_POST_PROCESS_NONE;
  // One byte more than allowed, so that a body above the limit is detected.
  State->Instance.max_post_body_size = Limits.LargestBody + 1;
  ulfius_set_default_endpoint(&State->Instance, &state::onRequest, State.get());
  std::array<MHD_OptionItem, 7> Options{
      MHD_OptionItem{MHD_OPTION_NOTIFY_COMPLETED,
                     reinterpret_cast<intptr_t>(mhd_request_completed),
                     nullptr},
      MHD_OptionItem{MHD_OPTION_URI_LOG_CALLBACK,
                     reinterpret_cast<intptr_t>(ulfius_uri_logger), nullptr},
      MHD_OptionItem{MHD_OPTION_SOCK_ADDR, 0, &State->Address},
      MHD_OptionItem{MHD_OPTION_CONNECTION_LIMIT,
                     static_cast<intptr_t>(Limits.MostConnections), nullptr},
      MHD_OptionItem{MHD_OPTION_THREAD_STACK_SIZE,
                     static_cast<intptr_t>(Limits.StackSize), nullptr},
      MHD_OptionItem{MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                     static_cast<intptr_t>(Limits.ConnectionMemory), nullptr},
      MHD_OptionItem{MHD_OPTION_END, 0, nullptr}};
  const unsigned Flags = MHD_USE_THREAD_PER_CONNECTION |
                         MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                         MHD_USE_ITC;
  if (ulfius_start_framework_with_mhd_options(&State->Instance, Flags,
                                              Options.data()) != U_OK) {
    ulfius_clean_instance(&State->Instance);
    throw http_server_error("could not listen on " + Listen.text());
  }
  State->IsRunning = true;
}

http_server::~http_server() {
  if (!State->IsRunning)
    return;
  ulfius_stop_framework(&State->Instance);
  ulfius_clean_instance(&State->Instance);
}

bool parseEndpoint(const std::string &Text, endpoint &Endpoint) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return false;
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Port == 0)
    return false;
  Endpoint = {Text.substr(0, Colon), Port};
  return true;
}

} // namespace clementine::stand_in
