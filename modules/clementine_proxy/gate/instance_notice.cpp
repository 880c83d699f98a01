#include "clementine_proxy/gate/instance_notice.h"

#include <charconv>
#include <cmath>
#include <string_view>

namespace clementine::proxy {

namespace {

/// The status of an instance that is not the one that was expected.
constexpr unsigned Misdirected = 421;

std::optional<double> decimalOf(std::string_view Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] =
      std::from_chars(Text.data(), End, Value, std::chars_format::fixed);
  if (Error != std::errc() || Stop != End || !std::isfinite(Value) || Value < 0)
    return std::nullopt;
  return Value;
}

} // namespace

std::optional<instance_notice> noticeOf(const response &Response,
                                        const header_names &Names) {
  if (Response.Status == Misdirected)
    return std::nullopt;
  instance_notice Notice;
  if (const auto Limit = findHeader(Response.Headers, Names.StartLimit)) {
    Notice.StartsPerSecond = decimalOf(*Limit);
    if (!Notice.StartsPerSecond)
      return std::nullopt;
  }
  Notice.IsLeaving = findHeader(Response.Headers, Names.Leaving) == "1";
  return Notice;
}

} // namespace clementine::proxy
