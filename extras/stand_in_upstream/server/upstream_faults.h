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
  /// Work takes this many times its usual time.
  double SlowFactor = 1;
  /// Whether requests wait without end once their work is done.
  bool Hangs = false;
  /// Whether the process ends between the next completed run and its answer.
  bool ExitsAfterRun = false;
  /// How many of the next answers are cut off in the middle.
  std::uint32_t TruncatedAnswers = 0;
  /// Whether `/health` says the opposite.
  bool InvertsHealth = false;
  /// Whether `/load` reports a busy upstream as idle and an idle one as busy.
  bool InvertsLoad = false;
  /// Whether every new request is shed.
  bool Sheds = false;

  bool operator==(const upstream_faults &) const = default;
};

/// A change of the switches that can't be carried out.
struct upstream_faults_error {
  /// The field at fault, empty if the text is no JSON object.
  std::string Field;
};

/// The switches, changed over HTTP while requests are served.
class upstream_switches {
public:
  /// Sets the fields that @p Json names: `slow_factor` (0.01 to 1000), `hang`,
  /// `die_after_run`, `cut_answers`, `health_lies`, `load_lies`, `shed`.
  /// @returns the new state; nothing is changed after an error.
  result<upstream_faults, upstream_faults_error> change(std::string_view Json);

  /// @returns the present state.
  upstream_faults current() const;

  /// @returns whether this answer is to be cut; uses one up.
  bool consumeTruncatedAnswer();

private:
  mutable std::mutex Mutex;
  upstream_faults Faults;
};

} // namespace clementine::stand_in

#endif
