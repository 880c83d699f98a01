#ifndef CLEMENTINE_ROUTING_ROUTES_ADMISSION_HINTS_H
#define CLEMENTINE_ROUTING_ROUTES_ADMISSION_HINTS_H

#include "clementine_routing/routes/expiring_level.h"

#include <compare>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace clementine {

/// How many hints are kept and for how long.
struct admission_hints_settings {
  expiring_level_settings Expiry;
  /// The most keys that are kept; the oldest hint goes first.
  std::size_t MaximumKeys = 4096;

  auto operator<=>(const admission_hints_settings &) const = default;
};

/// What an entry node does with a request before it sends it anywhere.
enum class hint_verdict : std::uint8_t {
  /// As far as is known the whole path lets it in.
  Admitted,
  /// It would be refused, but goes on to test whether that still holds.
  Probe,
  /// It would be refused deeper down and may be told so now: it was not run.
  RefusedEarly,
};

/// The levels of whole paths, by operation: the strictest level that an answer
/// met on its way. An entry node asks here before it sends a request.
///
/// A hint is advice; the gates have the last word. Critical requests are never
/// refused on advice, since only a gate can tell that no lesser one goes first.
/// Levels of single gates live in route_chooser.
class admission_hints {
public:
  explicit admission_hints(admission_hints_settings Settings)
      : Settings(Settings) {}
  admission_hints() : admission_hints(admission_hints_settings{}) {}

  admission_hints(const admission_hints &) = delete;
  admission_hints &operator=(const admission_hints &) = delete;

  /// Takes in the strictest level that an answer met.
  void learn(const std::string &Operation, admission_level Level, instant Now);

  /// Decides about a request at entry. A probe is used up by asking.
  hint_verdict decide(const std::string &Operation, const admission_rank &Rank,
                      instant Now);

  /// @returns the level of an operation, or one that lets in everything.
  admission_level level(const std::string &Operation, instant Now) const;

  std::size_t size() const { return Hints.size(); }

private:
  void evictHints(instant Now);

  const admission_hints_settings Settings;
  std::unordered_map<std::string, expiring_level> Hints;
};

} // namespace clementine

#endif
