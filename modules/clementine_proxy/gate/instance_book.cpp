#include "clementine_proxy/gate/instance_book.h"

namespace clementine::proxy {

std::string_view reportVerdictName(report_verdict Verdict) {
  switch (Verdict) {
  case report_verdict::Accepted:
    return "accepted";
  case report_verdict::Outdated:
    return "outdated";
  case report_verdict::Foreign:
    return "foreign";
  }
  return "unknown";
}

report_verdict instance_book::report(const instance_report &Report) {
  if (Report.Service != Service || Report.Address != Address)
    return report_verdict::Foreign;
  if (Current && Report.StartedAt < Current->StartedAt)
    return report_verdict::Outdated;
  const bool IsSameRun = Current && Report.StartedAt == Current->StartedAt &&
                         Report.Instance == Current->Instance;
  if (!IsSameRun) {
    Current = Report;
    return report_verdict::Accepted;
  }
  if (Report.Sequence < Current->Sequence)
    return report_verdict::Outdated;
  const bool HasLeft = Current->State == instance_state::Draining;
  Current = Report;
  if (HasLeft)
    Current->State = instance_state::Draining;
  return report_verdict::Accepted;
}

bool instance_book::deregister(const std::string &Instance,
                               std::int64_t StartedAt) {
  if (!Current || Current->Instance != Instance ||
      (StartedAt != 0 && StartedAt < Current->StartedAt))
    return false;
  Current->State = instance_state::Draining;
  return true;
}

const instance_report *instance_book::ready() const {
  return Current && Current->State == instance_state::Ready ? &*Current
                                                            : nullptr;
}

} // namespace clementine::proxy
