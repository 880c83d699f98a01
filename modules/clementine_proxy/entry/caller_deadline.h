#ifndef CLEMENTINE_PROXY_ENTRY_CALLER_DEADLINE_H
#define CLEMENTINE_PROXY_ENTRY_CALLER_DEADLINE_H

#include "clementine_core/clementine_core.h"
#include "clementine_proxy/http/messages.h"

#include <optional>
#include <string_view>

namespace clementine::proxy {

/// @param HeaderName the header with the time in milliseconds.
/// @returns how long the caller of @p Request waits, one hour at most; nothing
/// if the request does not say so, or not as a number.
std::optional<duration> callerTimeoutOf(const request &Request,
                                        std::string_view HeaderName);

} // namespace clementine::proxy

#endif
