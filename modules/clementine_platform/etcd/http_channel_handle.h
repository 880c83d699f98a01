#ifndef CLEMENTINE_PLATFORM_ETCD_HTTP_CHANNEL_HANDLE_H
#define CLEMENTINE_PLATFORM_ETCD_HTTP_CHANNEL_HANDLE_H

#include "clementine_core/http/response_line_check.h"
#include "clementine_platform/etcd/http_channel.h"

#include <curl/curl.h>

#include <array>
#include <atomic>
#include <string>
#include <string_view>

namespace clementine {

/// One libcurl handle with its connection, which carries one call at a time.
class http_channel::handle {
public:
  /// @param Interrupted ends the call in progress once it is true.
  handle(const limits &Limits, const std::string &WantedHeader,
         const std::atomic<bool> &Interrupted);
  ~handle();

  handle(const handle &) = delete;
  handle &operator=(const handle &) = delete;

  /// @name Calls
  /// As those of http_channel, but with the whole URL.
  result<answer, platform_error> post(const std::string &Url,
                                      const std::string &Body);
  result<answer, platform_error> get(const std::string &Url,
                                     duration CallTimeout,
                                     const std::atomic<bool> *Stopping);
  result<answer, platform_error> remove(const std::string &Url);
  result<void, platform_error> stream(const std::string &Url,
                                      const std::string &Body,
                                      const line_listener &Lines,
                                      const std::atomic<bool> &Stopping);

private:
  result<answer, platform_error> performCall(duration CallTimeout);
  std::string wantedHeader() const;
  static int shouldAbort(void *User, curl_off_t DownloadTotal,
                         curl_off_t Downloaded, curl_off_t UploadTotal,
                         curl_off_t Uploaded);
  static int limitKeepaliveProbes(void *User, curl_socket_t Socket,
                                  curlsocktype Purpose);
  void prepare(const std::string &Url, const std::string &Body);
  CURLcode performStream(const std::atomic<bool> &Stopping);
  long status() const;
  /// Whether a byte of the request may have reached the server.
  bool wasSent() const;
  platform_error failureOf(CURLcode Code) const;
  /// Ends the call at a line that is none of an answer.
  static std::size_t checkLine(char *Bytes, std::size_t Size, std::size_t Count,
                               void *User);
  static std::size_t readBody(char *Buffer, std::size_t Size, std::size_t Count,
                              void *User);
  static int refuseRewind(void *User, curl_off_t Offset, int Origin);
  static std::size_t appendBody(char *Bytes, std::size_t Size,
                                std::size_t Count, void *User);
  static std::size_t appendLines(char *Bytes, std::size_t Size,
                                 std::size_t Count, void *User);
  bool deliverLines();

  const limits &Limits;
  const std::string &WantedHeader;
  const std::atomic<bool> &Interrupted;
  const std::atomic<bool> *Stopping = nullptr;
  CURL *const Easy;
  CURLM *const Multi;
  curl_slist *Headers = nullptr;
  std::string_view Unsent;
  std::string Received;
  std::array<char, CURL_ERROR_SIZE> ErrorText{};
  const line_listener *Listener = nullptr;
  instant LastReceiveTime;
  response_line_check LineCheck;
  bool IsMalformed = false;
  bool TooLarge = false;
  bool StoppedByListener = false;
};

} // namespace clementine

#endif
