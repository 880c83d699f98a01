#include "clementine_security/keys/peer_key_ring.h"

#include "clementine_core/identity/identity.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <cstring>
#include <new>

namespace clementine {

namespace {

constexpr std::size_t DigestBytes = 32;
constexpr std::size_t KeyTextLength = 44;

constexpr std::array<std::string_view, 6> FaultTexts = {
    "no key is given",
    "too many keys are given",
    "the entry has no colon between id and key",
    "the id must be 1 to 32 letters, digits, '-', '_' or '.'",
    "the id equals an earlier one or has the same key hint",
    "the key must be the base64 encoding of 32 bytes (44 characters)",
};

EVP_MAC_CTX *asMac(void *Context) {
  return static_cast<EVP_MAC_CTX *>(Context);
}

bool isLetterOrDigit(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9');
}

bool isIdCharacter(char Character) {
  return isLetterOrDigit(Character) || Character == '-' || Character == '_' ||
         Character == '.';
}

bool isBase64Character(char Character) {
  return isLetterOrDigit(Character) || Character == '+' || Character == '/';
}

bool isId(std::string_view Id) {
  return !Id.empty() && Id.size() <= peer_key_ring::MaxIdLength &&
         std::all_of(Id.begin(), Id.end(), isIdCharacter);
}

std::uint32_t hintOf(std::string_view Id) {
  return static_cast<std::uint32_t>(stableHash(Id));
}

std::string_view trimmed(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

bool decodeKey(std::string_view Text,
               std::array<std::byte, PeerKeyBytes> &Bytes) {
  if (Text.size() != KeyTextLength || Text.back() != '=')
    return false;
  const std::string_view Digits = Text.substr(0, KeyTextLength - 1);
  if (!std::all_of(Digits.begin(), Digits.end(), isBase64Character))
    return false;
  std::array<unsigned char, PeerKeyBytes + 1> Decoded{};
  const int Length = EVP_DecodeBlock(
      Decoded.data(), reinterpret_cast<const unsigned char *>(Text.data()),
      static_cast<int>(Text.size()));
  if (Length != static_cast<int>(Decoded.size()))
    return false;
  std::memcpy(Bytes.data(), Decoded.data(), Bytes.size());
  OPENSSL_cleanse(Decoded.data(), Decoded.size());
  return true;
}

void *makeContext(const std::array<std::byte, PeerKeyBytes> &Key) {
  EVP_MAC *Mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  EVP_MAC_CTX *Context = EVP_MAC_CTX_new(Mac);
  EVP_MAC_free(Mac);
  std::string Digest = "SHA256";
  const std::array<OSSL_PARAM, 2> Parameters = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, Digest.data(), 0),
      OSSL_PARAM_construct_end()};
  const auto *Bytes = reinterpret_cast<const unsigned char *>(Key.data());
  // Fails only if out of memory or if libcrypto lacks HMAC-SHA256.
  if (!Context ||
      EVP_MAC_init(Context, Bytes, Key.size(), Parameters.data()) != 1) {
    EVP_MAC_CTX_free(Context);
    throw std::bad_alloc();
  }
  return Context;
}

} // namespace

std::string key_ring_failure::text() const {
  return "entry " + std::to_string(Entry + 1) + ": " +
         std::string(FaultTexts.at(static_cast<std::size_t>(Fault)));
}

void peer_key_ring::context_deleter::operator()(void *Context) const {
  EVP_MAC_CTX_free(asMac(Context));
}

result<peer_key_ring, key_ring_failure>
peer_key_ring::make(const std::vector<peer_key> &Keys) {
  if (Keys.empty())
    return key_ring_failure{key_ring_fault::Empty, 0};
  if (Keys.size() > MaxKeys)
    return key_ring_failure{key_ring_fault::TooManyKeys, MaxKeys};
  peer_key_ring Ring;
  for (const peer_key &Key : Keys) {
    const std::size_t Entry = Ring.Keys.size();
    if (!isId(Key.Id))
      return key_ring_failure{key_ring_fault::BadId, Entry};
    const std::uint32_t Hint = hintOf(Key.Id);
    for (const keyed_context &Earlier : Ring.Keys)
      if (Earlier.Hint == Hint)
        return key_ring_failure{key_ring_fault::DuplicateId, Entry};
    Ring.Keys.emplace_back();
    Ring.Keys.back().Id = Key.Id;
    Ring.Keys.back().Hint = Hint;
    Ring.Keys.back().Context.reset(makeContext(Key.Bytes));
  }
  return Ring;
}

result<peer_key_ring, key_ring_failure>
peer_key_ring::parse(std::string_view Text) {
  std::vector<peer_key> Keys;
  if (trimmed(Text).empty())
    return key_ring_failure{key_ring_fault::Empty, 0};
  while (true) {
    const std::size_t Entry = Keys.size();
    if (Entry == MaxKeys)
      return key_ring_failure{key_ring_fault::TooManyKeys, Entry};
    const std::size_t Comma = Text.find(',');
    const std::string_view Part = trimmed(Text.substr(0, Comma));
    const std::size_t Colon = Part.find(':');
    if (Colon == std::string_view::npos)
      return key_ring_failure{key_ring_fault::MissingColon, Entry};
    peer_key Key;
    Key.Id = Part.substr(0, Colon);
    if (!decodeKey(Part.substr(Colon + 1), Key.Bytes))
      return key_ring_failure{key_ring_fault::BadKey, Entry};
    Keys.push_back(Key);
    if (Comma == std::string_view::npos)
      return make(Keys);
    Text.remove_prefix(Comma + 1);
  }
}

peer_key_ring::peer_key_ring(const peer_key_ring &Other) {
  for (const keyed_context &Key : Other.Keys) {
    Keys.emplace_back();
    Keys.back().Id = Key.Id;
    Keys.back().Hint = Key.Hint;
    Keys.back().Context.reset(EVP_MAC_CTX_dup(asMac(Key.Context.get())));
    if (!Keys.back().Context)
      throw std::bad_alloc();
  }
}

peer_key_ring &peer_key_ring::operator=(const peer_key_ring &Other) {
  if (this != &Other)
    *this = peer_key_ring(Other);
  return *this;
}

peer_tag peer_key_ring::sign(std::span<const std::byte> Message) {
  return tagOf(Keys.front(), Message);
}

bool peer_key_ring::verify(std::span<const std::byte> Message,
                           const peer_tag &Tag) {
  for (keyed_context &Key : Keys) {
    if (Key.Hint != Tag.KeyHint)
      continue;
    const peer_tag Expected = tagOf(Key, Message);
    return CRYPTO_memcmp(Expected.Bytes.data(), Tag.Bytes.data(),
                         Tag.Bytes.size()) == 0;
  }
  return false;
}

std::vector<std::string> peer_key_ring::ids() const {
  std::vector<std::string> Ids;
  for (const keyed_context &Key : Keys)
    Ids.push_back(Key.Id);
  return Ids;
}

peer_tag peer_key_ring::tagOf(keyed_context &Key,
                              std::span<const std::byte> Message) {
  EVP_MAC_CTX *Context = asMac(Key.Context.get());
  std::array<unsigned char, DigestBytes> Full{};
  std::size_t Length = 0;
  // Without a key argument the context is reset and keeps its current key.
  const bool Made =
      EVP_MAC_init(Context, nullptr, 0, nullptr) == 1 &&
      EVP_MAC_update(Context,
                     reinterpret_cast<const unsigned char *>(Message.data()),
                     Message.size()) == 1 &&
      EVP_MAC_final(Context, Full.data(), &Length, Full.size()) == 1;
  if (!Made)
    throw std::bad_alloc();
  peer_tag Tag;
  Tag.KeyHint = Key.Hint;
  std::memcpy(Tag.Bytes.data(), Full.data(), Tag.Bytes.size());
  return Tag;
}

} // namespace clementine
