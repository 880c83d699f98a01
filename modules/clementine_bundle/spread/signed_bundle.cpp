#include "clementine_bundle/spread/signed_bundle.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <optional>

namespace clementine {

namespace {

using json = nlohmann::json;
using fault = signed_file_error::fault;

constexpr std::uint64_t FileFormat = 1;

/// The maximum size of a `.signed` file, in bytes: the text, whose size escapes
/// may double, and the head.
constexpr std::size_t MaxFileBytes = 2 * MaxBundleBytes + 4096;

constexpr std::array<std::string_view, 7> FaultTexts = {
    "the file is too large",
    "the file is not JSON",
    "a field is missing",
    "a field has an invalid value",
    "the enclosed text is not a valid bundle",
    "the enclosed text does not match the signed digest",
    "the signature does not verify",
};

/// Reads the fields one by one and keeps the first error.
class field_reader {
public:
  explicit field_reader(const json &Object) : Object(Object) {}

  template <class Check>
  void readText(const char *Field, std::string &Value, Check IsValid) {
    const json *Found = find(Field);
    if (Found == nullptr)
      return;
    if (!Found->is_string() ||
        !IsValid(Found->get_ref<const std::string &>())) {
      fail(fault::BadField, Field);
      return;
    }
    Value = Found->get<std::string>();
  }

  void readNumber(const char *Field, std::uint64_t &Value) {
    const json *Found = find(Field);
    if (Found == nullptr)
      return;
    if (!Found->is_number_unsigned()) {
      fail(fault::BadField, Field);
      return;
    }
    Value = Found->get<std::uint64_t>();
  }

  template <std::size_t Size>
  void readBytes(const char *Field, std::array<std::uint8_t, Size> &Bytes) {
    std::string Parsed;
    std::string Text;
    readText(Field, Text, [&](const std::string &Hex) {
      return Hex.size() == 2 * Size && parseHex(Hex, Parsed);
    });
    if (Parsed.size() == Size)
      std::copy(Parsed.begin(), Parsed.end(), Bytes.begin());
  }

  const std::optional<signed_file_error> &error() const { return Error; }

private:
  const json *find(const char *Field) {
    const auto Found = Object.find(Field);
    if (Found != Object.end())
      return &*Found;
    fail(fault::MissingField, Field);
    return nullptr;
  }

  void fail(fault Fault, const char *Field) {
    if (!Error)
      Error = signed_file_error{Fault, Field};
  }

  const json &Object;
  std::optional<signed_file_error> Error;
};

} // namespace

std::string signed_file_error::text() const {
  std::string Text(FaultTexts.at(static_cast<std::size_t>(Fault)));
  if (!Field.empty())
    Text += ": " + Field;
  return Text;
}

result<signed_file, signed_file_error>
signed_file::parse(std::string_view Text) {
  if (Text.size() > MaxFileBytes)
    return signed_file_error{fault::TooLarge, {}};
  const json Object = json::parse(Text, nullptr, false);
  if (!Object.is_object())
    return signed_file_error{fault::NotJson, {}};

  std::uint64_t Format = 0;
  std::uint64_t SignedAt = 0;
  std::string Canonical;
  bundle_head Head;
  verification_key PublicKey;
  field_reader Reader(Object);
  Reader.readNumber("format", Format);
  Reader.readNumber("version", Head.Version);
  Reader.readBytes("digest", Head.Digest.Bytes);
  Reader.readText("owner", Head.Owner, isValidName);
  Reader.readBytes("write_id", Head.WriteId.Bytes);
  Reader.readNumber("signed_at", SignedAt);
  Reader.readText("reason", Head.Reason, isValidReason);
  Reader.readBytes("public_key", PublicKey.Bytes);
  Reader.readBytes("signature", Head.Signature.Bytes);
  Reader.readText("text", Canonical, [](const std::string &) { return true; });
  if (Reader.error())
    return *Reader.error();
  if (Format != FileFormat)
    return signed_file_error{fault::BadField, "format"};
  if (SignedAt > std::numeric_limits<std::int64_t>::max())
    return signed_file_error{fault::BadField, "signed_at"};
  Head.SignedAt = static_cast<std::int64_t>(SignedAt);

  auto Content = bundle::parse(Canonical);
  if (!Content)
    return signed_file_error{fault::BadText, "text"};
  if (Content.value().digest() != Head.Digest)
    return signed_file_error{fault::DigestMismatch, "text"};
  if (!PublicKey.verifies(Head.signedText(), Head.Signature))
    return signed_file_error{fault::BadSignature, "signature"};
  return signed_file{{Head, Content.value()}, PublicKey};
}

std::string signed_file::text() const {
  const bundle_head &Head = Bundle.Head;
  nlohmann::ordered_json Object;
  Object["format"] = FileFormat;
  Object["version"] = Head.Version;
  Object["digest"] = Head.Digest.text();
  Object["owner"] = Head.Owner;
  Object["write_id"] = Head.WriteId.text();
  Object["signed_at"] = static_cast<std::uint64_t>(Head.SignedAt);
  Object["reason"] = Head.Reason;
  Object["public_key"] = PublicKey.text();
  Object["signature"] = hexText(Head.Signature.bytes());
  Object["text"] = Bundle.Content.text();
  return Object.dump(2) + "\n";
}

} // namespace clementine
