#ifndef CLEMENTINE_ROUTING_ROUTES_ADMISSION_HINTS_H
#define CLEMENTINE_ROUTING_ROUTES_ADMISSION_HINTS_H

#include "clementine_routing/routes/expiring_level.h"

#include <compare>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace clementine {

/// Settings of admission_hints.
struct admission_hints_settings {
  expiring_level_settings Expiry;
  /// The maximum number of operations; the oldest hint is evicted first.
  std::size_t MaximumKeys = 4096;

  auto operator<=>(const admission_hints_settings &) const = default;
};

/// The decision of an entry node on a request before it is sent.
enum class hint_verdict : std::uint8_t {
  /// According to the hint, the whole path admits it.
  Admitted,
  /// The hint says that it would be refused, but it is sent to test whether the
  /// hint is still valid.
  Probe,
  /// It would be refused further along the path, so it is refused now: it was
  /// not run.
  RefusedEarly,
};

/// The admission levels of whole paths, by operation: the strictest level found
/// in an answer and on its path. An entry node consults them before it sends a
/// request.
///
/// A hint is only advisory; the gates decide. Critical requests are never
/// refused because of a hint, since only a gate can ensure that no less
/// important request is admitted first. route_chooser keeps the levels of
/// single gates.
class admission_hints {
public:
  explicit admission_hints(admission_hints_settings Settings)
      : Settings(Settings) {}
  admission_hints() : admission_hints(admission_hints_settings{}) {}

  admission_hints(const admission_hints &) = delete;
  admission_hints &operator=(const admission_hints &) = delete;

  /// Records the strictest level on the path of an answer.
  void learn(const std::string &Operation, admission_level Level, instant Now);

  /// Decides on a request at entry. A result of hint_verdict::Probe uses up the
  /// probe of the current interval.
  hint_verdict decide(const std::string &Operation, const admission_rank &Rank,
                      instant Now);

  /// @returns the level of an operation, or one that admits everything if none
  /// is known.
  admission_level level(const std::string &Operation, instant Now) const;

  std::size_t size() const { return Hints.size(); }

private:
  void evictHints(instant Now);

  const admission_hints_settings Settings;
  std::unordered_map<std::string, expiring_level> Hints;
};

} // namespace clementine

#endif
