#ifndef CLEMENTINE_HTTP_CLIENT_UPSTREAM_TRANSFER_H
#define CLEMENTINE_HTTP_CLIENT_UPSTREAM_TRANSFER_H

#include "clementine_core/http/response_line_check.h"
#include "clementine_http/client/upstream_client.h"

#include <curl/curl.h>

#include <memory>
#include <string>
#include <string_view>

namespace clementine {

/// One call of an upstream_client from its start to its result. The libcurl
/// handle points into it, so it must not move.
class upstream_transfer {
public:
  upstream_transfer(upstream_call Call, const endpoint &Address,
                    const upstream_client_settings &Settings);

  upstream_transfer(const upstream_transfer &) = delete;
  upstream_transfer &operator=(const upstream_transfer &) = delete;

  CURL *handle() const { return Easy.get(); }
  const request_id &token() const { return Call.Token; }

  /// @param Code how libcurl says that the transfer ended.
  upstream_result resultOf(CURLcode Code);

private:
  struct list_deleter {
    void operator()(curl_slist *List) const { curl_slist_free_all(List); }
  };
  struct easy_deleter {
    void operator()(CURL *Easy) const { curl_easy_cleanup(Easy); }
  };

  void addHeader(const std::string &Line);
  void addHeaders();
  void setBody();
  long timeoutMilliseconds() const;

  /// Called by libcurl each time it is about to send the request. Allows only
  /// the first attempt.
  static int begin(void *Self, char *, char *, int, int);
  static std::size_t receiveHeader(char *Data, std::size_t Size,
                                   std::size_t Count, void *Self);
  static std::size_t receiveBody(char *Data, std::size_t Size,
                                 std::size_t Count, void *Self);

  /// Accepts a line of a head or a trailer.
  /// @returns false, which ends the call, for a line that is none of an answer.
  bool acceptLine(std::string_view Line);
  bool acceptField(std::string_view Line);
  /// @returns whether the answer said where it ends.
  bool isFramed() const;

  const upstream_call Call;
  std::unique_ptr<CURL, easy_deleter> Easy;
  std::unique_ptr<curl_slist, list_deleter> Headers;
  http_answer Answer;
  unsigned SendAttempts = 0;
  response_line_check LineCheck;
  /// The value of `Content-Length`; empty without that field.
  std::string Length;
  bool IsChunked = false;
  bool IsMarkedNotRun = false;
  bool TooLarge = false;
};

} // namespace clementine

#endif
