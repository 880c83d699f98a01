#include "clementine_settings/values/value_format.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

#include <arpa/inet.h>
#include <openssl/evp.h>

namespace clementine {

namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxUrlLength = 512;
constexpr std::size_t MaxPathLength = 1024;
constexpr std::uint64_t MaxPort = 65535;
constexpr std::size_t KeyBase64Characters = 44;
constexpr std::string_view Whitespace = " \t";

bool isDigit(char Character) { return Character >= '0' && Character <= '9'; }

bool isLetter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z');
}

bool isNameCharacter(char Character) {
  return isLetter(Character) || isDigit(Character) || Character == '-' ||
         Character == '_' || Character == '.';
}

bool isPrintable(char Character) { return Character > ' ' && Character < 127; }

/// Parses digits with an optional decimal point; rejects a sign, an exponent,
/// infinity and NaN.
std::optional<double> parseDecimal(std::string_view Text) {
  const bool OnlyDecimals =
      std::all_of(Text.begin(), Text.end(), [](char Character) {
        return isDigit(Character) || Character == '.';
      });
  if (!OnlyDecimals)
    return std::nullopt;
  double Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Number;
}

struct unit {
  std::string_view Name;
  std::uint64_t Factor;
};

/// A number and the factor of its unit.
struct scaled_number {
  std::uint64_t Count;
  /// What the number has in addition to Count, from 0 to less than 1.
  double Fraction;
  std::uint64_t Factor;
};

/// Parses what follows the whole part of @p Number, which ends at @p Point: a
/// decimal point with digits, or nothing.
std::optional<double> parseFraction(std::string_view Number,
                                    std::size_t Point) {
  if (Point == Number.size())
    return 0.0;
  if (Point + 1 == Number.size())
    return std::nullopt;
  return parseDecimal(Number.substr(Point));
}

/// Parses a number that is followed by one of the units. A decimal point has
/// digits on both sides.
template <std::size_t Size>
std::optional<scaled_number>
parseWithUnit(std::string_view Text, const std::array<unit, Size> &Units) {
  const auto UnitBegin = std::find_if(Text.begin(), Text.end(), isLetter);
  const auto Length = static_cast<std::size_t>(UnitBegin - Text.begin());
  const std::string_view Number = Text.substr(0, Length);
  const std::size_t Point = std::min(Number.find('.'), Length);
  const auto Count =
      value_format<std::uint64_t>::parse(Number.substr(0, Point));
  const auto Fraction = parseFraction(Number, Point);
  if (!Count || !Fraction)
    return std::nullopt;
  for (const unit &Unit : Units)
    if (Unit.Name == Text.substr(Length))
      return scaled_number{*Count, *Fraction, Unit.Factor};
  return std::nullopt;
}

/// @returns the product, rounded to a whole number, or std::nullopt if it
/// exceeds @p Highest.
std::optional<std::uint64_t> multiply(scaled_number Number,
                                      std::uint64_t Highest) {
  if (Number.Count > Highest / Number.Factor)
    return std::nullopt;
  const std::uint64_t Whole = Number.Count * Number.Factor;
  const auto Rest = static_cast<std::uint64_t>(
      std::llround(Number.Fraction * static_cast<double>(Number.Factor)));
  if (Rest > Highest - Whole)
    return std::nullopt;
  return Whole + Rest;
}

constexpr std::array<unit, 5> DurationUnits = {{
    {"us", 1'000},
    {"ms", 1'000'000},
    {"s", 1'000'000'000},
    {"min", 60'000'000'000},
    {"h", 3'600'000'000'000},
}};

constexpr std::array<unit, 3> ByteUnits = {{
    {"B", 1},
    {"KiB", 1024},
    {"MiB", 1'048'576},
}};

template <class Value> struct named_value {
  std::string_view Name;
  Value Meaning;
};

template <class Value, std::size_t Size>
std::optional<Value>
lookUp(std::string_view Text,
       const std::array<named_value<Value>, Size> &Choices) {
  for (const auto &Choice : Choices)
    if (Choice.Name == Text)
      return Choice.Meaning;
  return std::nullopt;
}

constexpr std::array<named_value<limiter_kind>, 3> LimiterKinds = {{
    {"learned", limiter_kind::Learned},
    {"static", limiter_kind::Static},
    {"none", limiter_kind::None},
}};

constexpr std::array<named_value<log_threshold>, 4> LogThresholds = {{
    {"debug", log_threshold::Debug},
    {"info", log_threshold::Info},
    {"warning", log_threshold::Warning},
    {"error", log_threshold::Error},
}};

/// Decodes a base64 key. Rejects any encoding except the canonical one.
std::optional<std::array<std::uint8_t, KeyBytes>>
decodeKey(std::string_view Text) {
  constexpr std::size_t DecodedBytes = KeyBase64Characters / 4 * 3;
  if (Text.size() != KeyBase64Characters)
    return std::nullopt;
  std::array<unsigned char, DecodedBytes> Decoded{};
  const auto *Input = reinterpret_cast<const unsigned char *>(Text.data());
  if (EVP_DecodeBlock(Decoded.data(), Input, static_cast<int>(Text.size())) < 0)
    return std::nullopt;
  std::array<unsigned char, KeyBase64Characters + 1> Reencoded{};
  EVP_EncodeBlock(Reencoded.data(), Decoded.data(), KeyBytes);
  if (!std::equal(Text.begin(), Text.end(), Reencoded.begin()))
    return std::nullopt;
  std::array<std::uint8_t, KeyBytes> Key{};
  std::copy_n(Decoded.begin(), KeyBytes, Key.begin());
  return Key;
}

std::string_view strip(std::string_view Text) {
  const std::size_t Begin = Text.find_first_not_of(Whitespace);
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(Whitespace) - Begin + 1);
}

} // namespace

std::optional<std::string>
value_format<std::string>::parse(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameLength)
    return std::nullopt;
  if (!isLetter(Text.front()) && !isDigit(Text.front()))
    return std::nullopt;
  if (!std::all_of(Text.begin(), Text.end(), isNameCharacter))
    return std::nullopt;
  return std::string(Text);
}

std::optional<std::uint64_t>
value_format<std::uint64_t>::parse(std::string_view Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Number;
}

std::optional<fraction> value_format<fraction>::parse(std::string_view Text) {
  const auto Number = parseDecimal(Text);
  if (!Number)
    return std::nullopt;
  return fraction{*Number};
}

std::optional<factor> value_format<factor>::parse(std::string_view Text) {
  const auto Number = parseDecimal(Text);
  if (!Number)
    return std::nullopt;
  return factor{*Number};
}

std::optional<duration> value_format<duration>::parse(std::string_view Text) {
  const auto Number = parseWithUnit(Text, DurationUnits);
  if (!Number)
    return std::nullopt;
  constexpr auto Longest =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  const auto Nanoseconds = multiply(*Number, Longest);
  if (!Nanoseconds)
    return std::nullopt;
  return duration(static_cast<std::int64_t>(*Nanoseconds));
}

std::optional<byte_count>
value_format<byte_count>::parse(std::string_view Text) {
  const auto Number = parseWithUnit(Text, ByteUnits);
  if (!Number || Text.find('.') != std::string_view::npos)
    return std::nullopt;
  const auto Bytes =
      multiply(*Number, std::numeric_limits<std::uint64_t>::max());
  if (!Bytes)
    return std::nullopt;
  return byte_count{*Bytes};
}

std::optional<endpoint> value_format<endpoint>::parse(std::string_view Text) {
  const std::size_t Colon = Text.find(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const std::string Host(Text.substr(0, Colon));
  in_addr Address{};
  if (inet_pton(AF_INET, Host.c_str(), &Address) != 1)
    return std::nullopt;
  const auto Port = value_format<std::uint64_t>::parse(Text.substr(Colon + 1));
  if (!Port || *Port == 0 || *Port > MaxPort)
    return std::nullopt;
  return endpoint{Host, static_cast<std::uint16_t>(*Port)};
}

std::optional<http_url> value_format<http_url>::parse(std::string_view Text) {
  constexpr std::string_view Plain = "http://";
  constexpr std::string_view Secure = "https://";
  if (Text.size() > MaxUrlLength)
    return std::nullopt;
  if (!std::all_of(Text.begin(), Text.end(), isPrintable))
    return std::nullopt;
  if (Text.find_first_of("?#\"<>\\") != std::string_view::npos)
    return std::nullopt;
  std::string_view Rest = Text;
  if (Rest.starts_with(Plain))
    Rest.remove_prefix(Plain.size());
  else if (Rest.starts_with(Secure))
    Rest.remove_prefix(Secure.size());
  else
    return std::nullopt;
  if (Rest.empty() || Rest.front() == '/' || Rest.front() == ':')
    return std::nullopt;
  return http_url{std::string(Text)};
}

std::optional<file_path> value_format<file_path>::parse(std::string_view Text) {
  const bool HasControl =
      std::any_of(Text.begin(), Text.end(), [](unsigned char Character) {
        return Character < ' ' || Character == 127;
      });
  if (Text.empty() || Text.size() > MaxPathLength || HasControl)
    return std::nullopt;
  return file_path{std::string(Text)};
}

std::optional<named_key> value_format<named_key>::parse(std::string_view Text) {
  const std::size_t Colon = Text.find(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  auto Name = value_format<std::string>::parse(Text.substr(0, Colon));
  const auto Key = decodeKey(Text.substr(Colon + 1));
  if (!Name || !Key)
    return std::nullopt;
  return named_key{std::move(*Name), *Key};
}

std::optional<limiter_kind>
value_format<limiter_kind>::parse(std::string_view Text) {
  return lookUp(Text, LimiterKinds);
}

std::optional<log_threshold>
value_format<log_threshold>::parse(std::string_view Text) {
  return lookUp(Text, LogThresholds);
}

std::vector<std::string_view> splitList(std::string_view Text) {
  std::vector<std::string_view> Elements;
  if (strip(Text).empty())
    return Elements;
  std::size_t Begin = 0;
  while (Begin <= Text.size()) {
    const std::size_t Comma = std::min(Text.find(',', Begin), Text.size());
    Elements.push_back(strip(Text.substr(Begin, Comma - Begin)));
    Begin = Comma + 1;
  }
  return Elements;
}

} // namespace clementine
