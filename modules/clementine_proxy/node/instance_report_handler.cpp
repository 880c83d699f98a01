#include "clementine_proxy/node/instance_report_handler.h"

#include <variant>

namespace clementine::proxy {

instance_call_verdict
instance_report_handler::handle(const instance_call_content &Content) {
  if (const auto *Report = std::get_if<instance_report>(&Content))
    return handleReport(*Report);
  return handleDeparture(std::get<instance_departure>(Content));
}

void instance_report_handler::startAccepting(
    const std::optional<instance_run> &Departed) {
  if (!Registration.isHeld())
    return;
  if (Departed)
    Registration.deregister(Departed->Instance, Departed->StartedAt);
  Registration.release();
  Log.info("instances may accept work",
           {{"departed", Departed ? Departed->Instance : "(none)"}});
  Changed(false);
}

void instance_report_handler::handleRememberedDeparture(
    const instance_run &Departed) {
  if (Registration.hasDeparted(Departed))
    return;
  const bool IsPresent =
      Registration.deregister(Departed.Instance, Departed.StartedAt);
  Log.info("departure learned from another node",
           {{"instance", Departed.Instance}, {"present", IsPresent ? 1 : 0}});
  Changed(false);
}

instance_call_verdict
instance_report_handler::handleDeparture(const instance_departure &Departure) {
  const bool IsPresent =
      Registration.deregister(Departure.Instance, Departure.StartedAt);
  Log.info("instance deregistered",
           {{"instance", Departure.Instance}, {"present", IsPresent ? 1 : 0}});
  Changed(false);
  return instance_call_verdict::Confirmed;
}

instance_call_verdict
instance_report_handler::handleReport(const instance_report &Report) {
  const auto Before = Registration.current();
  const report_verdict Verdict = Registration.report(Report);
  const bool IsNewRun = !Before || Before->Instance != Report.Instance ||
                        Before->StartedAt != Report.StartedAt;
  if (IsNewRun || Verdict != report_verdict::Accepted ||
      Before->State != Report.State)
    Log.info("instance report",
             {{"verdict", reportVerdictName(Verdict)},
              {"instance", Report.Instance},
              {"service", Report.Service},
              {"address", Report.Address.text()},
              {"state",
               Report.State == instance_state::Ready ? "ready" : "draining"},
              {"started", Report.StartedAt},
              {"sequence", Report.Sequence},
              {"slots", Report.Slots}});
  if (Verdict == report_verdict::Foreign)
    return instance_call_verdict::Foreign;
  if (Verdict == report_verdict::Unproven)
    return instance_call_verdict::ReportAgain;
  if (Verdict == report_verdict::Accepted)
    Changed(IsNewRun);
  return instance_call_verdict::Confirmed;
}

} // namespace clementine::proxy
