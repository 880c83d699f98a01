#ifndef CLEMENTINE_PROXY_HTTP_HEADER_NAMES_H
#define CLEMENTINE_PROXY_HTTP_HEADER_NAMES_H

#include <string>

namespace clementine::proxy {

/// Names of the HTTP header fields that callers, nodes and instances exchange.
/// Set by the deployment adapter.
struct header_names {
  /// Identifies an attempt of a caller; echoed in the response.
  std::string RequestId;
  /// How long the sender waits for the response, in milliseconds.
  std::string Deadline;
  /// Proves that a response comes from the instance itself.
  std::string Signature;
  /// The only instance that may execute the request.
  std::string ExpectedInstance;
  /// In a response: the instance certifies that it did not execute the request.
  std::string NotExecuted;
  /// The service of the instance on whose VM the request originated.
  std::string CallerService;
  /// In a response: how many requests per second the instance takes.
  std::string StartLimit = {};
  /// In a response: "1" if the instance is leaving.
  std::string Leaving = {};

  bool operator==(const header_names &) const = default;
};

} // namespace clementine::proxy

#endif
