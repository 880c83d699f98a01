#include "clementine_platform/etcd/etcd_messages.h"

namespace clementine::etcd {

namespace {

constexpr std::array<std::string_view, 6> FaultNames = {
    "not JSON",         "not an object", "wrong type", "not a 64-bit number",
    "not valid base64", "missing"};

} // namespace

std::string codec_error::text() const {
  std::string Text(FaultNames.at(static_cast<std::size_t>(Fault)));
  if (!Field.empty())
    Text += ": " + Field;
  return Text;
}

std::string prefixEnd(std::string Prefix) {
  while (!Prefix.empty() && static_cast<unsigned char>(Prefix.back()) == 0xff)
    Prefix.pop_back();
  if (Prefix.empty())
    // A single zero byte as the end means all keys from the start key on.
    return std::string(1, '\0');
  ++Prefix.back();
  return Prefix;
}

} // namespace clementine::etcd
