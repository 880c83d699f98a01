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

/// The load that one caller puts on one operation.
struct load_stream {
  std::string Caller;
  operation_name Target;
  /// The importance that the bundle gives these calls; reports group by it.
  importance Level = importance::Normal;
  /// Arrivals per second outside surges.
  std::uint64_t Rate = 1;
};

/// How clients resend a request that did not complete.
enum class resend_kind : std::uint8_t {
  Never,
  /// After a random wait whose upper limit doubles each time.
  BackOff,
  /// After a short fixed pause; `hard` in scenario files.
  Immediate,
};

/// A period in which the rate of every stream is multiplied.
struct surge_phase {
  duration Begin{0};
  duration End{0};
  std::uint64_t Factor = 1;
};

/// A fault that is injected into the deployment during a run.
enum class fault_kind : std::uint8_t {
  /// Work takes Value times its normal time.
  Slow,
  /// The health and load endpoints report false values; `mislead` in scenario
  /// files.
  Misreport,
  /// Node and upstream are killed.
  Kill,
  /// The node is paused.
  Pause,
  /// The upstream drains.
  Drain,
  /// The platform answers 503.
  PlatformDown,
  /// The platform does not answer.
  PlatformSilent,
  /// The platform delays its answers by Value milliseconds.
  PlatformSlow,
};

/// A fault with the time of its injection.
struct scheduled_fault {
  fault_kind Kind = fault_kind::Kill;
  duration At{0};
  /// The end of the fault, for kinds that can end; 0 for never.
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
  /// The initial period, which the phases and the level before the surge
  /// exclude.
  duration WarmUp = std::chrono::seconds(2);
  /// The time limit for a request over all its sends; `patience` in scenario
  /// files.
  duration RequestTimeout = std::chrono::seconds(3);
  /// The time limit for one send, after which the client may send again.
  duration SendTimeout = std::chrono::seconds(3);
  std::uint64_t Threads = 2;
  resend_kind Resend = resend_kind::Never;
  std::uint64_t MaxSends = 1;
  std::vector<load_stream> Streams;
  std::vector<surge_phase> Surges;
  std::vector<scheduled_fault> Faults;

  /// @returns the factor by which rates are multiplied at @p Time.
  double factorAt(duration Time) const;

  /// @returns the surge that ends last, or nullptr.
  const surge_phase *lastSurge() const;
};

/// Parses the text of a scenario's file: a section `[scenario]`, and any number
/// of sections `[load_NUMBER]`, `[surge_NUMBER]` and `[fault_NUMBER]`.
result<scenario, description_error> readScenario(std::string_view Text);

} // namespace clementine::load

#endif
