#include "clementine_proxy/model/input_text.h"

#include "clementine_proxy/model/message_limits.h"

#include <boost/locale/utf.hpp>

namespace clementine::proxy {

namespace {

constexpr boost::locale::utf::code_point FirstPrintable = 0x20;
constexpr boost::locale::utf::code_point Delete = 0x7f;

} // namespace

bool isName(std::string_view Text) {
  using utf8 = boost::locale::utf::utf_traits<char>;
  if (Text.size() > MaxNameLength)
    return false;
  const auto *Next = Text.begin();
  while (Next != Text.end()) {
    const auto Point = utf8::decode(Next, Text.end());
    if (Point == boost::locale::utf::illegal ||
        Point == boost::locale::utf::incomplete || Point < FirstPrintable ||
        Point == Delete)
      return false;
  }
  return true;
}

} // namespace clementine::proxy
