#ifndef CLEMENTINE_TELEMETRY_LOGS_LOG_RECORDS_H
#define CLEMENTINE_TELEMETRY_LOGS_LOG_RECORDS_H

#include "clementine_telemetry/logs/logger.h"

#include <atomic>
#include <cstdint>

namespace clementine::log_records {

/// The value of threshold() while no log_output exists.
constexpr int NothingEnabled = 255;

/// @returns the lowest level that is written, as a number.
std::atomic<int> &threshold();

/// @returns how many records were dropped because the queue was full.
std::atomic<std::uint64_t> &dropped();

} // namespace clementine::log_records

#endif
