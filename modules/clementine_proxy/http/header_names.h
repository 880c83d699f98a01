#ifndef CLEMENTINE_PROXY_HTTP_HEADER_NAMES_H
#define CLEMENTINE_PROXY_HTTP_HEADER_NAMES_H

#include <string>

namespace clementine::proxy {

/// The names of the header fields that callers, nodes and instances exchange.
/// An adapter for a deployment fills them in.
struct header_names {
  /// Names an attempt of a caller; echoed in its answer.
  std::string RequestId;
  /// How long the sender waits for the answer, in milliseconds.
  std::string Deadline;
  /// Proves that an answer is the instance's own.
  std::string Signature;
  /// The only instance that may run the request.
  std::string ExpectedInstance;
  /// On an answer: the instance certifies that it has not run the request.
  std::string NotExecuted;
  /// The service that runs where the request began.
  std::string CallerService;

  bool operator==(const header_names &) const = default;
};

} // namespace clementine::proxy

#endif
