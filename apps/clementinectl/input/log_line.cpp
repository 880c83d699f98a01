#include "clementinectl/input/log_line.h"

#include <cctype>

namespace clementine::ctl {

namespace {

/// Removes the text before the next space from the front of @p Rest.
std::string_view consumeWord(std::string_view &Rest) {
  const std::size_t End = Rest.find(' ');
  const std::string_view Word = Rest.substr(0, End);
  Rest.remove_prefix(End == std::string_view::npos ? Rest.size() : End + 1);
  return Word;
}

/// Removes a value, which may be quoted, from the front of @p Rest.
std::string consumeValue(std::string_view &Rest) {
  if (!Rest.starts_with('"'))
    return std::string(consumeWord(Rest));
  std::size_t End = 1;
  while (End < Rest.size() && Rest[End] != '"')
    End += Rest[End] == '\\' ? 2 : 1;
  std::string Value(Rest.substr(1, std::min(End, Rest.size()) - 1));
  Rest.remove_prefix(std::min(End + 1, Rest.size()));
  if (Rest.starts_with(' '))
    Rest.remove_prefix(1);
  return Value;
}

/// @returns the length of the key at the front of @p Rest, or 0 if there is
/// none.
std::size_t keyLength(std::string_view Rest) {
  std::size_t Length = 0;
  while (Length < Rest.size() &&
         (std::isalnum(static_cast<unsigned char>(Rest[Length])) != 0 ||
          Rest[Length] == '_'))
    ++Length;
  return Length < Rest.size() && Rest[Length] == '=' ? Length : 0;
}

} // namespace

std::string_view log_line::field(std::string_view Key) const {
  const auto Found = Fields.find(Key);
  return Found == Fields.end() ? std::string_view() : Found->second;
}

std::optional<log_line> parseLogLine(std::string_view Text) {
  log_line Line;
  Line.Time = consumeWord(Text);
  Line.Level = consumeWord(Text);
  Line.Component = consumeWord(Text);
  if (!Line.Time.ends_with('Z') || !Line.Component.ends_with(':'))
    return std::nullopt;
  Line.Component.pop_back();
  while (!Text.empty()) {
    if (const std::size_t Length = keyLength(Text); Length > 0) {
      const std::string Key(Text.substr(0, Length));
      Text.remove_prefix(Length + 1);
      Line.Fields[Key] = consumeValue(Text);
      continue;
    }
    if (!Line.Message.empty())
      Line.Message += ' ';
    Line.Message += consumeWord(Text);
  }
  return Line;
}

} // namespace clementine::ctl
