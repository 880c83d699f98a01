#include "clementine_proxy/gate/instance_registration.h"

#include <algorithm>

namespace clementine::proxy {

std::string_view reportVerdictName(report_verdict Verdict) {
  switch (Verdict) {
  case report_verdict::Accepted:
    return "accepted";
  case report_verdict::Outdated:
    return "outdated";
  case report_verdict::Foreign:
    return "foreign";
  case report_verdict::Unproven:
    return "unproven";
  }
  return "unknown";
}

report_verdict instance_registration::report(const instance_report &Report) {
  if (Report.Service != Service || Report.Address != Address)
    return report_verdict::Foreign;
  if (Current && Report.StartedAt < Current->StartedAt)
    return report_verdict::Outdated;
  const bool IsSameRun = Current && Report.StartedAt == Current->StartedAt &&
                         Report.Instance == Current->Instance;
  if (IsSameRun && Report.Sequence < Current->Sequence)
    return report_verdict::Outdated;
  if (Report.State == instance_state::Draining)
    recordDeparture(Report.Instance, Report.StartedAt);
  const bool HasLeft = hasDeparted({Report.Instance, Report.StartedAt});
  if (RequiresProof && !IsSameRun && !HasLeft) {
    const report_verdict Verdict = verify(Report);
    if (Verdict != report_verdict::Accepted)
      return Verdict;
  }
  Candidate.reset();
  Current = Report;
  if (HasLeft)
    Current->State = instance_state::Draining;
  return report_verdict::Accepted;
}

/// Accepts a report that follows another one of its run.
report_verdict instance_registration::verify(const instance_report &Report) {
  const instance_run Run{Report.Instance, Report.StartedAt};
  if (!Candidate || Candidate->Run != Run) {
    Candidate = candidate{Run, Report.Sequence};
    return report_verdict::Unproven;
  }
  return Report.Sequence > Candidate->Sequence ? report_verdict::Accepted
                                               : report_verdict::Outdated;
}

bool instance_registration::deregister(const std::string &Instance,
                                       std::int64_t StartedAt) {
  recordDeparture(Instance, StartedAt);
  if (!Current || Current->Instance != Instance ||
      (StartedAt != 0 && StartedAt < Current->StartedAt))
    return false;
  Current->State = instance_state::Draining;
  return true;
}

void instance_registration::recordDeparture(const std::string &Instance,
                                            std::int64_t StartedAt) {
  // Without a start time this refers to the current run of that instance, or
  // to every run if it is not the current instance.
  std::int64_t Run = StartedAt;
  if (Run == 0)
    Run = Current && Current->Instance == Instance
              ? Current->StartedAt
              : std::numeric_limits<std::int64_t>::max();
  std::int64_t &Last = Departed[Instance];
  Last = std::max(Last, Run);
  LastDeparted = instance_run{Instance, Last};
  if (Departed.size() > MaxDeparted)
    Departed.erase(std::min_element(
        Departed.begin(), Departed.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; }));
}

bool instance_registration::hasDeparted(const instance_run &Run) const {
  const auto Found = Departed.find(Run.Instance);
  return Found != Departed.end() && Run.StartedAt <= Found->second;
}

const instance_report *instance_registration::ready() const {
  return !IsHeld && Current && Current->State == instance_state::Ready
             ? &*Current
             : nullptr;
}

} // namespace clementine::proxy
