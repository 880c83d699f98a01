#ifndef STAND_IN_PLATFORM_SERVER_FAULT_SWITCHES_H
#define STAND_IN_PLATFORM_SERVER_FAULT_SWITCHES_H

#include "clementine_core/errors/result.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace clementine::stand_in {

/// How the platform fails to answer.
enum class outage_kind : std::uint8_t {
  None,
  /// Every call is answered 503 and nothing is changed.
  Unavailable,
  /// Nothing is answered and nothing is changed.
  Silent,
};

/// The faults that are switched on.
struct platform_faults {
  outage_kind Outage = outage_kind::None;
  /// The wait before each answer, in milliseconds.
  std::uint32_t DelayMilliseconds = 0;
  /// How many of the next writes take effect while their answers are cut off.
  std::uint32_t LoseAnswers = 0;
  /// How many of the next answers are not JSON.
  std::uint32_t MalformedAnswers = 0;
  /// Whether reads see the data as it was when this was switched on.
  bool StaleReads = false;

  bool operator==(const platform_faults &) const = default;
};

/// A change of the switches that can't be carried out.
struct faults_error {
  /// The field at fault, empty if the text is no JSON object.
  std::string Field;
};

/// The switches, changed over HTTP while calls are served.
class fault_switches {
public:
  /// Sets the fields that @p Json names: `outage` ("none", "unavailable",
  /// "silent"), `delay_ms`, `lose_answers`, `malformed_answers`,
  /// `stale_reads`. The field `lapse_leases` is a command and left to the
  /// caller.
  /// @returns the new state; nothing is changed after an error.
  result<platform_faults, faults_error> change(std::string_view Json);

  /// @returns the present state.
  platform_faults current() const;

  /// @returns whether this write's answer is to be lost; uses one up.
  bool consumeLostAnswer();

  /// @returns whether this answer is to be malformed; uses one up.
  bool consumeMalformedAnswer();

private:
  mutable std::mutex Mutex;
  platform_faults Faults;
};

} // namespace clementine::stand_in

#endif
