#ifndef CLEMENTINE_TELEMETRY_LOGS_LOG_OUTPUT_H
#define CLEMENTINE_TELEMETRY_LOGS_LOG_OUTPUT_H

#include "clementine_telemetry/logs/logger.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <memory>

namespace clementine {

/// Writes the records of all loggers to one stream while it exists.
///
/// A dedicated thread writes them every WriteInterval, so that a slow stream
/// does not block the threads that log. When MaxQueuedRecords are queued,
/// further records are dropped and counted, and a record reports how many; that
/// limits the volume to MaxQueuedRecords per interval. Only one output may
/// exist at a time.
class log_output {
public:
  static constexpr std::size_t MaxQueuedRecords = 1024;
  static constexpr std::chrono::milliseconds WriteInterval{100};

  /// @param Threshold the lowest level that is written.
  log_output(std::shared_ptr<std::ostream> Stream, log_level Threshold);

  /// Writes the queued records, then detaches the stream.
  ~log_output();

  log_output(const log_output &) = delete;
  log_output &operator=(const log_output &) = delete;

  /// Waits until all earlier records are written.
  void flush();

  /// @returns how many records this process has dropped.
  static std::uint64_t dropped();

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
