#ifndef CLEMENTINE_PLATFORM_ETCD_OBJECT_READER_H
#define CLEMENTINE_PLATFORM_ETCD_OBJECT_READER_H

#include "clementine_platform/etcd/base64.h"
#include "clementine_platform/etcd/etcd_messages.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>
#include <utility>

namespace clementine::etcd {

/// Reads the fields of one JSON object. The first error is kept and later reads
/// return empty values, so that a decoder checks for errors once, at its end.
class object_reader {
public:
  explicit object_reader(const nlohmann::json &Object,
                         std::optional<codec_error> &Failed)
      : Object(Object), Failed(Failed) {
    if (!Object.is_object())
      fail(codec_error::fault::NotAnObject, "");
  }

  std::int64_t number(const char *Field) const {
    const nlohmann::json *Value = find(Field);
    if (Value == nullptr)
      return 0;
    if (Value->is_number_integer())
      return Value->get<std::int64_t>();
    if (!Value->is_string())
      return failNumber(codec_error::fault::WrongType, Field);
    const auto &Text = Value->get_ref<const std::string &>();
    std::int64_t Number = 0;
    const char *End = Text.data() + Text.size();
    const auto Parsed = std::from_chars(Text.data(), End, Number);
    if (Parsed.ec != std::errc() || Parsed.ptr != End)
      return failNumber(codec_error::fault::BadNumber, Field);
    return Number;
  }

  bool flag(const char *Field) const {
    const nlohmann::json *Value = find(Field);
    if (Value == nullptr)
      return false;
    if (!Value->is_boolean()) {
      fail(codec_error::fault::WrongType, Field);
      return false;
    }
    return Value->get<bool>();
  }

  std::string text(const char *Field) const {
    const nlohmann::json *Value = find(Field);
    if (Value == nullptr)
      return {};
    if (!Value->is_string()) {
      fail(codec_error::fault::WrongType, Field);
      return {};
    }
    return Value->get<std::string>();
  }

  std::string bytes(const char *Field) const {
    auto Bytes = decodeBase64(text(Field));
    if (!Bytes) {
      fail(codec_error::fault::BadBase64, Field);
      return {};
    }
    return std::move(*Bytes);
  }

  /// Calls @p Read with a reader for each element of an array of objects.
  template <class Function>
  void forEach(const char *Field, Function Read) const {
    const nlohmann::json *Value = find(Field);
    if (Value == nullptr)
      return;
    if (!Value->is_array()) {
      fail(codec_error::fault::WrongType, Field);
      return;
    }
    for (const nlohmann::json &Element : *Value)
      Read(object_reader(Element, Failed));
  }

  /// Calls @p Read with a reader for the field @p Field, if it exists.
  /// @returns whether it exists.
  template <class Function>
  bool withObject(const char *Field, Function Read) const {
    const nlohmann::json *Value = find(Field);
    if (Value == nullptr)
      return false;
    Read(object_reader(*Value, Failed));
    return true;
  }

  void fail(codec_error::fault Fault, const char *Field) const {
    if (!Failed)
      Failed = codec_error{Fault, Field};
  }

private:
  const nlohmann::json *find(const char *Field) const {
    if (Failed)
      return nullptr;
    const auto Found = Object.find(Field);
    return Found == Object.end() || Found->is_null() ? nullptr : &*Found;
  }

  std::int64_t failNumber(codec_error::fault Fault, const char *Field) const {
    fail(Fault, Field);
    return 0;
  }

  const nlohmann::json &Object;
  std::optional<codec_error> &Failed;
};

} // namespace clementine::etcd

#endif
