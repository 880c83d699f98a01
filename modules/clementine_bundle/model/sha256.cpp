#include "clementine_bundle/model/sha256.h"

#include <charconv>

#include <openssl/sha.h>

namespace clementine {

std::string sha256_digest::text() const { return hexText(bytes()); }

std::string_view sha256_digest::bytes() const {
  return {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()};
}

sha256_digest sha256(std::string_view Text) {
  sha256_digest Digest;
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Digest.Bytes.data());
  return Digest;
}

std::string hexText(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(2 * Bytes.size());
  for (const char Byte : Bytes) {
    const auto Value = static_cast<unsigned char>(Byte);
    Text += Digits[Value >> 4U];
    Text += Digits[Value & 0xfU];
  }
  return Text;
}

bool parseHex(std::string_view Text, std::string &Bytes) {
  if (Text.size() % 2 != 0)
    return false;
  std::string Parsed;
  for (std::size_t Index = 0; Index < Text.size(); Index += 2) {
    unsigned Value = 0;
    const char *Begin = Text.data() + Index;
    const auto Read = std::from_chars(Begin, Begin + 2, Value, 16);
    if (Read.ec != std::errc() || Read.ptr != Begin + 2)
      return false;
    Parsed += static_cast<char>(Value);
  }
  Bytes = std::move(Parsed);
  return true;
}

} // namespace clementine
