#ifndef CLEMENTINE_PROXY_GATE_INSTANCE_NOTICE_H
#define CLEMENTINE_PROXY_GATE_INSTANCE_NOTICE_H

#include "clementine_proxy/http/header_names.h"
#include "clementine_proxy/http/messages.h"

#include <optional>

namespace clementine::proxy {

/// What an instance says about itself in the header of a response, besides the
/// response itself.
struct instance_notice {
  /// How many requests per second it takes from all nodes together; nothing if
  /// it names no limit.
  std::optional<double> StartsPerSecond;
  /// Whether it is leaving and wants no new requests.
  bool IsLeaving = false;

  bool operator==(const instance_notice &) const = default;
};

/// Reads the notice in a response of the instance that was called.
/// @returns nothing if the response comes from another instance, or if the
/// limit in it is not a decimal number of at least 0.
std::optional<instance_notice> noticeOf(const response &Response,
                                        const header_names &Names);

} // namespace clementine::proxy

#endif
