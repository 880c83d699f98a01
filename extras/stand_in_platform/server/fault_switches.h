#ifndef STAND_IN_PLATFORM_SERVER_FAULT_SWITCHES_H
#define STAND_IN_PLATFORM_SERVER_FAULT_SWITCHES_H

#include "clementine_core/errors/result.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace clementine::stand_in {

/// The kinds of outage of the platform.
enum class outage_kind : std::uint8_t {
  None,
  /// Every call is answered with 503 and changes nothing.
  Unavailable,
  /// No call is answered, and none changes anything.
  Silent,
};

/// The faults that are switched on.
struct platform_faults {
  outage_kind Outage = outage_kind::None;
  /// The delay before each answer, in milliseconds.
  std::uint32_t DelayMilliseconds = 0;
  /// The number of next writes that take effect but whose answers are
  /// truncated.
  std::uint32_t LoseAnswers = 0;
  /// The number of next answers that are not valid JSON.
  std::uint32_t MalformedAnswers = 0;
  /// Whether reads return the data as of the time when this was switched on.
  bool StaleReads = false;

  bool operator==(const platform_faults &) const = default;
};

/// The error for an invalid change of the fault switches.
struct faults_error {
  /// The invalid field; empty if the text is not a JSON object.
  std::string Field;
};

/// The fault switches, which can be changed over HTTP while calls are served.
class fault_switches {
public:
  /// Sets the fields that @p Json names: `outage` ("none", "unavailable",
  /// "silent"), `delay_ms`, `lose_answers`, `malformed_answers`,
  /// `stale_reads`. The field `lapse_leases` is a command that the caller
  /// has to execute.
  /// @returns the new state, or an error if nothing was changed.
  result<platform_faults, faults_error> change(std::string_view Json);

  platform_faults current() const;

  /// Decrements the number of answers to be lost, if there are any.
  /// @returns whether the answer of this write has to be lost.
  bool consumeLostAnswer();

  /// Decrements the number of answers to be malformed, if there are any.
  /// @returns whether this answer has to be malformed.
  bool consumeMalformedAnswer();

private:
  mutable std::mutex Mutex;
  platform_faults Faults;
};

} // namespace clementine::stand_in

#endif
