#ifndef CLEMENTINE_LOAD_DESCRIPTION_SECTION_READER_H
#define CLEMENTINE_LOAD_DESCRIPTION_SECTION_READER_H

#include "clementine_core/errors/result.h"
#include "clementine_load/description/description_error.h"
#include "clementine_settings/ini/ini_document.h"
#include "clementine_settings/values/value_format.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace clementine::load {

/// Parses the value of one key into an object.
template <class Value> struct key_rule {
  std::string_view Key;
  bool IsRequired = false;
  std::function<bool(std::string_view Text, Value &Object)> Read;
};

/// @returns a rule that parses a member with the value_format of its type.
template <class Value, class Member>
key_rule<Value> memberRule(std::string_view Key, bool IsRequired,
                           Member Value::*Target) {
  return {Key, IsRequired, [Target](std::string_view Text, Value &Object) {
            auto Parsed = value_format<Member>::parse(Text);
            if (!Parsed)
              return false;
            Object.*Target = std::move(*Parsed);
            return true;
          }};
}

/// Parses the keys of one section into an object, with one rule for each key.
/// @returns the first error, or nothing.
template <class Value>
std::optional<description_error>
readSection(const ini_document &Document, const ini_section &Section,
            const std::vector<key_rule<Value>> &Rules, Value &Object) {
  using fault = description_error::fault;
  std::vector<std::string_view> Seen;
  for (const ini_entry &Entry : Document.Entries) {
    if (Entry.Section != Section.Name)
      continue;
    const auto Rule =
        std::find_if(Rules.begin(), Rules.end(),
                     [&](const auto &Each) { return Each.Key == Entry.Key; });
    if (Rule == Rules.end())
      return description_error{fault::UnknownKey, Entry.Line, Entry.Section,
                               Entry.Key, Entry.Value};
    if (!Rule->Read(Entry.Value, Object))
      return description_error{fault::BadValue, Entry.Line, Entry.Section,
                               Entry.Key, Entry.Value};
    Seen.push_back(Rule->Key);
  }
  for (const auto &Rule : Rules)
    if (Rule.IsRequired &&
        std::find(Seen.begin(), Seen.end(), Rule.Key) == Seen.end())
      return description_error{fault::MissingKey, Section.Line, Section.Name,
                               std::string(Rule.Key), ""};
  return std::nullopt;
}

/// @returns the parsed document, or its first error.
result<ini_document, description_error> readDocument(std::string_view Text);

/// Parses the form `SERVICE/OPERATION`.
/// @returns false if the text does not have this form.
bool splitOperation(std::string_view Text, std::string &Service,
                    std::string &Operation);

} // namespace clementine::load

#endif
