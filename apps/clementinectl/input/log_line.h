#ifndef CLEMENTINECTL_INPUT_LOG_LINE_H
#define CLEMENTINECTL_INPUT_LOG_LINE_H

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace clementine::ctl {

/// One record of a node's log.
struct log_line {
  /// In UTC, in a format that sorts in order of time.
  std::string Time;
  std::string Level;
  /// The component of the node that wrote the record.
  std::string Component;
  std::string Message;
  std::map<std::string, std::string, std::less<>> Fields;

  /// @returns the value of a field, or an empty text if it is missing.
  std::string_view field(std::string_view Key) const;

  bool operator==(const log_line &) const = default;
};

/// @returns the record, or std::nullopt if the text is not a log record. Escape
/// sequences in values are not decoded.
std::optional<log_line> parseLogLine(std::string_view Text);

} // namespace clementine::ctl

#endif
