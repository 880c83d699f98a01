#ifndef CLEMENTINE_TELEMETRY_LOGS_LOG_RECORDS_H
#define CLEMENTINE_TELEMETRY_LOGS_LOG_RECORDS_H

#include "clementine_telemetry/logs/logger.h"

#include <atomic>

namespace clementine::log_records {

/// The value of threshold() while there is no output.
constexpr int NothingEnabled = 255;

/// @returns the least severe level that is written, as a number.
std::atomic<int> &threshold();

} // namespace clementine::log_records

#endif
