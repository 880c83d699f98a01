#ifndef CLEMENTINE_PROXY_GATE_INSTANCE_REGISTRATION_H
#define CLEMENTINE_PROXY_GATE_INSTANCE_REGISTRATION_H

#include "clementine_proxy/model/instance_record.h"

#include <limits>
#include <map>
#include <optional>
#include <string>

namespace clementine::proxy {

/// How a report was taken.
enum class report_verdict : std::uint8_t {
  /// It is news of the present instance, or of a new one.
  Accepted,
  /// A later report, or one of a later instance, has come before.
  Outdated,
  /// It speaks of another service or another address than this node stands
  /// beside.
  Foreign,
};

/// @returns the lower-case name of @p Verdict for logs.
std::string_view reportVerdictName(report_verdict Verdict);

/// Keeps who the instance beside this node is and whether it takes work.
///
/// Runs are ordered by their start, reports of one run by their sequence. What
/// has once left never takes work again, whatever late report says otherwise.
class instance_registration {
public:
  /// @param Service the service of the instance beside this node.
  /// @param Address where that instance listens.
  instance_registration(std::string Service, endpoint Address)
      : Service(std::move(Service)), Address(std::move(Address)) {}

  /// Takes a report.
  report_verdict report(const instance_report &Report);

  /// Takes the word of an instance that it leaves. It binds also if nothing
  /// was heard of that run before: a node that has just started may get it
  /// ahead of a late report.
  /// @param StartedAt its start; 0 if it does not say.
  /// @returns whether it was the present one.
  bool deregister(const std::string &Instance, std::int64_t StartedAt);

  /// Lets no instance take work until release(): what a former process of this
  /// node confirmed is not known yet.
  void hold() { IsHeld = true; }
  void release() { IsHeld = false; }
  bool isHeld() const { return IsHeld; }

  /// @returns the last run known to have left.
  const std::optional<instance_run> &lastDeparture() const { return LastLeft; }

  /// @returns the instance that takes work, if there is one.
  const instance_report *ready() const;

  /// @returns the last accepted report.
  const std::optional<instance_report> &current() const { return Current; }

private:
  static constexpr std::size_t MostDeparted = 64;

  void noteDeparture(const std::string &Instance, std::int64_t StartedAt);
  bool hasDeparted(const instance_report &Report) const;

  const std::string Service;
  const endpoint Address;
  std::optional<instance_report> Current;
  /// The start of the last run that left, by instance, of the newest ones.
  std::map<std::string, std::int64_t> Departed;
  std::optional<instance_run> LastLeft;
  bool IsHeld = false;
};

} // namespace clementine::proxy

#endif
