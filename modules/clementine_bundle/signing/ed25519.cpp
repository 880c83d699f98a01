#include "clementine_bundle/signing/ed25519.h"

#include "clementine_bundle/model/sha256.h"

#include <algorithm>
#include <cassert>
#include <memory>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

namespace clementine {

namespace {

struct key_deleter {
  void operator()(EVP_PKEY *Key) const { EVP_PKEY_free(Key); }
};
struct context_deleter {
  void operator()(EVP_MD_CTX *Context) const { EVP_MD_CTX_free(Context); }
};
using key_handle = std::unique_ptr<EVP_PKEY, key_deleter>;
using context_handle = std::unique_ptr<EVP_MD_CTX, context_deleter>;

const unsigned char *bytesOf(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

template <std::size_t Size>
bool parseBytes(std::string_view Text, std::array<std::uint8_t, Size> &Bytes) {
  std::string Parsed;
  if (Text.size() != 2 * Size || !parseHex(Text, Parsed))
    return false;
  std::copy(Parsed.begin(), Parsed.end(), Bytes.begin());
  OPENSSL_cleanse(Parsed.data(), Parsed.size());
  return true;
}

key_handle
privateHandle(const std::array<std::uint8_t, PrivateKeyBytes> &Seed) {
  key_handle Key(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr,
                                              Seed.data(), Seed.size()));
  assert(Key && "any 32 bytes are a valid private key");
  return Key;
}

} // namespace

std::string verification_key::text() const {
  return hexText({reinterpret_cast<const char *>(Bytes.data()), Bytes.size()});
}

bool verification_key::parse(std::string_view Text, verification_key &Key) {
  return parseBytes(Text, Key.Bytes);
}

bool verification_key::verifies(std::string_view Message,
                                const ed25519_signature &Signature) const {
  const key_handle Key(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr,
                                                   Bytes.data(), Bytes.size()));
  const context_handle Context(EVP_MD_CTX_new());
  if (!Key || !Context)
    return false;
  if (EVP_DigestVerifyInit(Context.get(), nullptr, nullptr, nullptr,
                           Key.get()) != 1)
    return false;
  return EVP_DigestVerify(Context.get(), Signature.Bytes.data(),
                          Signature.Bytes.size(), bytesOf(Message),
                          Message.size()) == 1;
}

signing_key signing_key::generate() {
  signing_key Key;
  const int Filled =
      RAND_priv_bytes(Key.Seed.data(), static_cast<int>(Key.Seed.size()));
  assert(Filled == 1 && "the random generator failed");
  static_cast<void>(Filled);
  return Key;
}

bool signing_key::parse(std::string_view Text, signing_key &Key) {
  return parseBytes(Text, Key.Seed);
}

signing_key::~signing_key() { OPENSSL_cleanse(Seed.data(), Seed.size()); }

signing_key::signing_key(signing_key &&Other) noexcept : Seed(Other.Seed) {
  OPENSSL_cleanse(Other.Seed.data(), Other.Seed.size());
}

signing_key &signing_key::operator=(signing_key &&Other) noexcept {
  std::swap(Seed, Other.Seed);
  return *this;
}

std::string signing_key::privateText() const {
  return hexText({reinterpret_cast<const char *>(Seed.data()), Seed.size()});
}

verification_key signing_key::publicKey() const {
  const key_handle Key = privateHandle(Seed);
  verification_key Public;
  std::size_t Size = Public.Bytes.size();
  const int Read =
      EVP_PKEY_get_raw_public_key(Key.get(), Public.Bytes.data(), &Size);
  assert(Read == 1 && Size == PublicKeyBytes);
  static_cast<void>(Read);
  return Public;
}

ed25519_signature signing_key::sign(std::string_view Message) const {
  const key_handle Key = privateHandle(Seed);
  const context_handle Context(EVP_MD_CTX_new());
  ed25519_signature Signature;
  std::size_t Size = Signature.Bytes.size();
  const bool Signed =
      EVP_DigestSignInit(Context.get(), nullptr, nullptr, nullptr, Key.get()) ==
          1 &&
      EVP_DigestSign(Context.get(), Signature.Bytes.data(), &Size,
                     bytesOf(Message), Message.size()) == 1;
  assert(Signed && Size == SignatureBytes);
  static_cast<void>(Signed);
  return Signature;
}

} // namespace clementine
