#ifndef STAND_IN_UPSTREAM_SERVER_UPSTREAM_FAULTS_H
#define STAND_IN_UPSTREAM_SERVER_UPSTREAM_FAULTS_H

#include "clementine_core/errors/result.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace clementine::stand_in {

/// The faults of an upstream that are switched on.
struct upstream_faults {
  /// The factor by which the service time is multiplied.
  double SlowFactor = 1;
  /// Whether requests hang after their work is done.
  bool Hangs = false;
  /// Whether the process exits between the next completed run and its answer.
  bool ExitsAfterRun = false;
  /// The number of next answers that are truncated in the middle.
  std::uint32_t TruncatedAnswers = 0;
  /// Whether `/health` reports the opposite of the actual overload state.
  bool InvertsHealth = false;
  /// Whether `/load` reports a busy upstream as idle and an idle one as busy.
  bool InvertsLoad = false;
  /// Whether every new request is shed.
  bool Sheds = false;

  bool operator==(const upstream_faults &) const = default;
};

/// The error for an invalid change of the fault switches.
struct upstream_faults_error {
  /// The invalid field; empty if the text is not a JSON object.
  std::string Field;
};

/// The fault switches, which can be changed over HTTP while requests are
/// served.
class upstream_switches {
public:
  /// Sets the fields that @p Json names: `slow_factor` (0.01 to 1000), `hang`,
  /// `die_after_run`, `cut_answers`, `health_lies`, `load_lies`, `shed`.
  /// @returns the new state, or an error if nothing was changed.
  result<upstream_faults, upstream_faults_error> change(std::string_view Json);

  upstream_faults current() const;

  /// Decrements the number of answers to be truncated, if there are any.
  /// @returns whether this answer has to be truncated.
  bool consumeTruncatedAnswer();

private:
  mutable std::mutex Mutex;
  upstream_faults Faults;
};

} // namespace clementine::stand_in

#endif
