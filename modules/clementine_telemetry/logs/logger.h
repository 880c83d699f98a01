#ifndef CLEMENTINE_TELEMETRY_LOGS_LOGGER_H
#define CLEMENTINE_TELEMETRY_LOGS_LOGGER_H

#include "clementine_core/identity/identity.h"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace clementine {

/// The severity of a log record; later enumerators are more severe.
enum class log_level : std::uint8_t { Debug, Info, Warning, Error };

/// @returns the lower-case name of @p Level.
std::string_view logLevelName(log_level Level);

/// A named value in a log record, written as `key=value`.
///
/// A value with blanks, quotes or control characters is quoted and escaped, so
/// that a value from the network cannot forge a record. Values are truncated to
/// LongestValue characters.
struct log_field {
  static constexpr std::size_t LongestValue = 256;

  log_field(std::string_view Key, std::string_view Value);
  log_field(std::string_view Key, const char *Value);
  template <std::integral Number>
  log_field(std::string_view Key, Number Value)
      : log_field(Key, std::string_view(std::to_string(Value))) {}

  /// The field `request`.
  explicit log_field(const request_id &Id);

  /// `key=value`, already escaped.
  std::string Text;
};

/// Writes the log records of one component of the program.
///
/// A record is one line: time in UTC, level, the component's prefix, a short
/// sentence and fields. A logger may be used from several threads. It writes
/// nothing while no log_output exists.
///
/// @see log_output
class logger {
public:
  using fields = std::initializer_list<log_field>;

  /// @param Prefix the fixed name of the component, such as `gossip`.
  explicit logger(std::string_view Prefix);
  ~logger();

  logger(const logger &) = delete;
  logger &operator=(const logger &) = delete;

  void debug(std::string_view Sentence, fields Fields = {}) const {
    write(log_level::Debug, Sentence, Fields);
  }
  void info(std::string_view Sentence, fields Fields = {}) const {
    write(log_level::Info, Sentence, Fields);
  }
  void warning(std::string_view Sentence, fields Fields = {}) const {
    write(log_level::Warning, Sentence, Fields);
  }
  void error(std::string_view Sentence, fields Fields = {}) const {
    write(log_level::Error, Sentence, Fields);
  }

  /// @returns whether a record of @p Level would be written now. Check it
  /// before computing expensive fields.
  static bool isEnabled(log_level Level);

private:
  struct source;

  void write(log_level Level, std::string_view Sentence, fields Fields) const;

  std::unique_ptr<source> Source;
};

} // namespace clementine

#endif
