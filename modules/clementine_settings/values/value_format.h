#ifndef CLEMENTINE_SETTINGS_VALUES_VALUE_FORMAT_H
#define CLEMENTINE_SETTINGS_VALUES_VALUE_FORMAT_H

#include "clementine_core/identity/identity.h"
#include "clementine_core/time/clock.h"
#include "clementine_settings/values/setting_values.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementine {

/// The maximum number of elements of a list in the settings.
constexpr std::size_t MaxListElements = 64;

/// The text format of a value of one type, and its parser.
///
/// Each specialisation has a `Form`, which describes the allowed texts for
/// error messages, and a `parse`, which returns std::nullopt for any other
/// text.
template <class Value> struct value_format;

/// A name as in the bundle: 1 to 64 letters, digits, `-`, `_` and `.`,
/// beginning with a letter or a digit.
template <> struct value_format<std::string> {
  static constexpr std::string_view Form =
      "a name of letters a-z and A-Z, digits, '-', '_' and '.', beginning with "
      "a letter or a digit";
  static std::optional<std::string> parse(std::string_view Text);
};

/// A whole number in decimal digits.
template <> struct value_format<std::uint64_t> {
  static constexpr std::string_view Form = "a whole number";
  static std::optional<std::uint64_t> parse(std::string_view Text);
};

/// A decimal number such as `0.25`.
template <> struct value_format<fraction> {
  static constexpr std::string_view Form = "a decimal number";
  static std::optional<fraction> parse(std::string_view Text);
};

/// A decimal number such as `1.5`.
template <> struct value_format<factor> {
  static constexpr std::string_view Form = value_format<fraction>::Form;
  static std::optional<factor> parse(std::string_view Text);
};

/// A decimal number with a unit, such as `250ms` or `6.5s`, rounded to
/// nanoseconds.
template <> struct value_format<duration> {
  static constexpr std::string_view Form =
      "a duration, a decimal number with its unit us, ms, s, min or h";
  static std::optional<duration> parse(std::string_view Text);
};

/// A whole number with a unit, such as `64KiB`.
template <> struct value_format<byte_count> {
  static constexpr std::string_view Form =
      "a size, a whole number with its unit B, KiB or MiB";
  static std::optional<byte_count> parse(std::string_view Text);
};

/// An IPv4 address and a port, such as `127.0.0.1:8000`.
template <> struct value_format<endpoint> {
  static constexpr std::string_view Form =
      "HOST:PORT, with an IPv4 number and a port from 1 to 65535";
  static std::optional<endpoint> parse(std::string_view Text);
};

/// An absolute http or https URL without a query.
template <> struct value_format<http_url> {
  static constexpr std::string_view Form =
      "a URL that begins with http:// or https://, with a host, without spaces "
      "or a query, of at most 512 characters";
  static std::optional<http_url> parse(std::string_view Text);
};

/// A path of up to 1024 characters.
template <> struct value_format<file_path> {
  static constexpr std::string_view Form =
      "the path of a file, of at most 1024 characters";
  static std::optional<file_path> parse(std::string_view Text);
};

/// A name, a colon and 32 bytes in base64.
template <> struct value_format<named_key> {
  static constexpr std::string_view Form =
      "NAME:KEY, with a key of 32 bytes in base64";
  static std::optional<named_key> parse(std::string_view Text);
};

template <> struct value_format<limiter_kind> {
  static constexpr std::string_view Form = "learned, static or none";
  static std::optional<limiter_kind> parse(std::string_view Text);
};

template <> struct value_format<log_threshold> {
  static constexpr std::string_view Form = "debug, info, warning or error";
  static std::optional<log_threshold> parse(std::string_view Text);
};

/// An optional value, in the format of the value itself.
template <class Value> struct value_format<std::optional<Value>> {
  static constexpr std::string_view Form = value_format<Value>::Form;
  static std::optional<std::optional<Value>> parse(std::string_view Text) {
    auto Parsed = value_format<Value>::parse(Text);
    if (!Parsed)
      return std::nullopt;
    return std::optional<std::optional<Value>>(std::move(Parsed));
  }
};

/// Splits a list at its commas and strips spaces and tabs around each element.
std::vector<std::string_view> splitList(std::string_view Text);

/// A comma-separated list; an empty text is an empty list.
template <class Value> struct value_format<std::vector<Value>> {
  static constexpr std::string_view Form = value_format<Value>::Form;
  static std::optional<std::vector<Value>> parse(std::string_view Text) {
    std::vector<Value> Values;
    for (const std::string_view Element : splitList(Text)) {
      auto Parsed = value_format<Value>::parse(Element);
      if (!Parsed || Values.size() == MaxListElements)
        return std::nullopt;
      Values.push_back(std::move(*Parsed));
    }
    return Values;
  }
};

} // namespace clementine

#endif
