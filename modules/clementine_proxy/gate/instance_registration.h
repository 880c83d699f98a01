#ifndef CLEMENTINE_PROXY_GATE_INSTANCE_REGISTRATION_H
#define CLEMENTINE_PROXY_GATE_INSTANCE_REGISTRATION_H

#include "clementine_proxy/model/instance_record.h"

#include <limits>
#include <map>
#include <optional>
#include <string>

namespace clementine::proxy {

/// The result of processing an instance report.
enum class report_verdict : std::uint8_t {
  /// It updates the current instance or registers a new one.
  Accepted,
  /// A later report, or one of an instance started later, was already accepted.
  Outdated,
  /// It names another service or address than those of this node's instance.
  Foreign,
  /// It may be a delayed report of a run whose departure a former process of
  /// this node has confirmed. A later report of that run proves that it has not
  /// left.
  Unproven,
};

/// @returns the lower-case name of @p Verdict for logs.
std::string_view reportVerdictName(report_verdict Verdict);

/// Keeps track of which instance runs on this node's VM and whether it accepts
/// requests.
///
/// Runs of an instance are ordered by their start time, reports of one run by
/// their sequence number. A run that has deregistered or drained never becomes
/// ready again, even if a delayed report says so.
///
/// What a former process of this node has confirmed may be known to nobody any
/// more: it was killed before it could store it, or the store was away and the
/// nodes that it told have ended, too. So that no delayed report undoes such a
/// departure, a run becomes ready only with its second report. An instance that
/// has left sends no further one.
class instance_registration {
public:
  /// @param Service the service of this node's instance.
  /// @param Address the address on which that instance listens.
  instance_registration(std::string Service, endpoint Address)
      : Service(std::move(Service)), Address(std::move(Address)) {}

  /// Processes a report of an instance.
  report_verdict report(const instance_report &Report);

  /// Deregisters a run of an instance. This takes effect even if no report of
  /// that run was received before: a node that has just started may receive the
  /// deregistration ahead of a delayed report.
  /// @param StartedAt its start in wall-clock milliseconds; 0 if unknown.
  /// @returns whether it was the current run.
  bool deregister(const std::string &Instance, std::int64_t StartedAt);

  /// Prepares for the reports of instances that a former process of this node
  /// may have known: from now on a run has to prove that it has not left, and
  /// no instance is reported as ready until release(). Used while it is not yet
  /// known which departure that process has stored.
  void hold() {
    IsHeld = true;
    RequiresProof = true;
  }
  void release() { IsHeld = false; }
  bool isHeld() const { return IsHeld; }

  /// @returns whether @p Run, or a later one of the same instance, has
  /// deregistered or drained.
  bool hasDeparted(const instance_run &Run) const;

  /// @returns the last run that deregistered or drained.
  const std::optional<instance_run> &lastDeparture() const {
    return LastDeparted;
  }

  /// @returns the instance that accepts requests, or null.
  const instance_report *ready() const;

  /// @returns the last accepted report.
  const std::optional<instance_report> &current() const { return Current; }

private:
  static constexpr std::size_t MaxDeparted = 64;

  /// The first report of a run that is not proven yet.
  struct candidate {
    instance_run Run;
    std::uint64_t Sequence = 0;
  };

  void recordDeparture(const std::string &Instance, std::int64_t StartedAt);
  report_verdict verify(const instance_report &Report);

  const std::string Service;
  const endpoint Address;
  std::optional<instance_report> Current;
  /// The start of the last departed run of each instance; bounded to the
  /// MaxDeparted latest ones.
  std::map<std::string, std::int64_t> Departed;
  std::optional<instance_run> LastDeparted;
  std::optional<candidate> Candidate;
  bool IsHeld = false;
  bool RequiresProof = false;
};

} // namespace clementine::proxy

#endif
