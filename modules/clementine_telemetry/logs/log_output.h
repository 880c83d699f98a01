#ifndef CLEMENTINE_TELEMETRY_LOGS_LOG_OUTPUT_H
#define CLEMENTINE_TELEMETRY_LOGS_LOG_OUTPUT_H

#include "clementine_telemetry/logs/logger.h"

#include <cstddef>
#include <iosfwd>
#include <memory>

namespace clementine {

/// Takes the records of all loggers to one stream while it exists.
///
/// A thread of its own writes them, so that a slow stream does not hold up the
/// parts; when MostWaiting records wait, further ones are dropped. Only one
/// output may exist at a time.
class log_output {
public:
  static constexpr std::size_t MostWaiting = 4096;

  /// @param Threshold the least severe records that are written.
  log_output(std::shared_ptr<std::ostream> Stream, log_level Threshold);

  /// Writes what waits, then detaches the stream.
  ~log_output();

  log_output(const log_output &) = delete;
  log_output &operator=(const log_output &) = delete;

  /// Waits until all earlier records are written.
  void flush();

private:
  struct sink;

  std::unique_ptr<sink> Sink;
};

/// @returns the standard error stream, which is never closed.
std::shared_ptr<std::ostream> standardErrorStream();

/// @returns the standard output stream, which is never closed.
std::shared_ptr<std::ostream> standardOutputStream();

} // namespace clementine

#endif
