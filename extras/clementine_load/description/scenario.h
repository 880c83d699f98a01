#ifndef CLEMENTINE_LOAD_DESCRIPTION_SCENARIO_H
#define CLEMENTINE_LOAD_DESCRIPTION_SCENARIO_H

#include "clementine_core/errors/result.h"
#include "clementine_core/identity/identity.h"
#include "clementine_core/time/clock.h"
#include "clementine_load/description/deployment.h"
#include "clementine_load/description/description_error.h"

#include <string>
#include <string_view>
#include <vector>

namespace clementine::load {

/// The calls of one caller to one operation.
struct load_stream {
  std::string Caller;
  operation_name Target;
  /// The importance that the bundle gives these calls; reports group by it.
  importance Level = importance::Normal;
  /// Arrivals a second outside a surge.
  std::uint64_t Rate = 1;
};

/// How clients send a request again that did not complete.
enum class resend_kind : std::uint8_t {
  Never,
  /// After a random wait that doubles each time.
  BackOff,
  /// Almost at once.
  Immediate,
};

/// A time in which every stream's rate is multiplied.
struct surge_phase {
  duration Begin{0};
  duration End{0};
  std::uint64_t Factor = 1;
};

/// What is done to the deployment during a run.
enum class fault_kind : std::uint8_t {
  /// Work takes Value times its usual time.
  Slow,
  /// The health and load endpoints lie.
  Misreport,
  /// Node and upstream are killed.
  Kill,
  /// The node is paused.
  Pause,
  /// The upstream drains.
  Drain,
  /// The platform answers 503.
  PlatformDown,
  /// The platform answers nothing.
  PlatformSilent,
  /// The platform answers late, by Value milliseconds.
  PlatformSlow,
};

/// A fault with its time.
struct scheduled_fault {
  fault_kind Kind = fault_kind::Kill;
  duration At{0};
  /// When it ends, where it can end; 0 for never.
  duration Until{0};
  /// A service or an instance; unused for the platform.
  std::string Target;
  std::uint64_t Value = 0;
};

/// One experiment.
struct scenario {
  std::string Name;
  std::uint64_t Seed = 1;
  duration Duration = std::chrono::seconds(20);
  /// The first part that no figure counts.
  duration WarmUp = std::chrono::seconds(2);
  /// How long a client waits for its request over all sends.
  duration RequestTimeout = std::chrono::seconds(3);
  /// How long it waits for one send before it sends again.
  duration SendTimeout = std::chrono::seconds(3);
  std::uint64_t Threads = 2;
  resend_kind Resend = resend_kind::Never;
  std::uint64_t MaxSends = 1;
  std::vector<load_stream> Streams;
  std::vector<surge_phase> Surges;
  std::vector<scheduled_fault> Faults;

  /// @returns by how much rates are multiplied at @p Time.
  double factorAt(duration Time) const;

  /// @returns the end of the last surge, or nothing.
  const surge_phase *lastSurge() const;
};

/// Reads a scenario's file: a section `[scenario]`, and any number of
/// `[load_NUMBER]`, `[surge_NUMBER]` and `[fault_NUMBER]`.
result<scenario, description_error> readScenario(std::string_view Text);

} // namespace clementine::load

#endif
