#ifndef CLEMENTINECTL_INPUT_LOG_LINE_H
#define CLEMENTINECTL_INPUT_LOG_LINE_H

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace clementine::ctl {

/// One record of a node's log.
struct log_line {
  /// In UTC, in a form whose order is that of time.
  std::string Time;
  std::string Level;
  /// The part of the node that wrote it.
  std::string Part;
  std::string Sentence;
  std::map<std::string, std::string, std::less<>> Fields;

  /// @returns the value of a field, or an empty text.
  std::string_view field(std::string_view Key) const;

  bool operator==(const log_line &) const = default;
};

/// @returns the record, or nothing for what is none. Escapes in values stay as
/// they are.
std::optional<log_line> parseLogLine(std::string_view Text);

} // namespace clementine::ctl

#endif
