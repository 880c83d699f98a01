#include "clementine_proxy/entry/caller_deadline.h"

#include <algorithm>
#include <charconv>
#include <chrono>

namespace clementine::proxy {

std::optional<duration> callerTimeoutOf(const request &Request,
                                        std::string_view HeaderName) {
  using std::chrono::milliseconds;
  constexpr milliseconds MaxCallerTimeout = std::chrono::hours(1);
  const auto Text = findHeader(Request.Headers, HeaderName);
  std::int64_t Value = 0;
  if (!Text ||
      std::from_chars(Text->data(), Text->data() + Text->size(), Value).ec !=
          std::errc() ||
      Value < 0)
    return std::nullopt;
  return milliseconds(std::min<std::int64_t>(Value, MaxCallerTimeout.count()));
}

} // namespace clementine::proxy
