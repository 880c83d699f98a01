#include "clementine_platform/etcd/base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace clementine {

namespace {

constexpr std::size_t BytesInGroup = 3;
constexpr std::size_t DigitsInGroup = 4;
constexpr std::size_t MostPadding = 2;

bool isDigit(char Character) {
  return (Character >= 'A' && Character <= 'Z') ||
         (Character >= 'a' && Character <= 'z') ||
         (Character >= '0' && Character <= '9') || Character == '+' ||
         Character == '/';
}

std::size_t countPadding(std::string_view Text) {
  const std::size_t LastDigit = Text.find_last_not_of('=');
  return LastDigit == std::string_view::npos ? Text.size()
                                             : Text.size() - LastDigit - 1;
}

const unsigned char *asUnsigned(std::string_view Bytes) {
  return reinterpret_cast<const unsigned char *>(Bytes.data());
}

} // namespace

std::string encodeBase64(std::string_view Bytes) {
  const std::size_t Groups = (Bytes.size() + BytesInGroup - 1) / BytesInGroup;
  // EVP_EncodeBlock appends a terminating zero byte.
  std::string Text(Groups * DigitsInGroup + 1, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                  asUnsigned(Bytes), static_cast<int>(Bytes.size()));
  Text.pop_back();
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.empty())
    return std::string();
  const std::size_t Padding = countPadding(Text);
  if (Text.size() % DigitsInGroup != 0 || Padding > MostPadding)
    return std::nullopt;
  if (!std::all_of(Text.begin(), Text.end() - static_cast<long>(Padding),
                   isDigit))
    return std::nullopt;
  std::string Bytes(Text.size() / DigitsInGroup * BytesInGroup, '\0');
  EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                  asUnsigned(Text), static_cast<int>(Text.size()));
  Bytes.resize(Bytes.size() - Padding);
  return Bytes;
}

} // namespace clementine
