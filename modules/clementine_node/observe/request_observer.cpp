#include "clementine_node/observe/request_observer.h"

#include <chrono>
#include <utility>

namespace clementine {

namespace {

constexpr std::array<std::string_view, 3> OutcomeNames = {"completed",
                                                          "not-run", "unknown"};

std::string_view nameOf(run_outcome Outcome) {
  return OutcomeNames.at(static_cast<std::size_t>(Outcome));
}

/// @returns a span that ends now.
span makeSpan(const hop_trace &Trace, std::string Name, span_kind Kind,
              duration Taken) {
  const auto End = std::chrono::system_clock::now().time_since_epoch();
  span Span;
  Span.Trace = Trace.Own.Trace;
  Span.Id = Trace.Own.Span;
  Span.Parent = Trace.Parent;
  Span.Name = std::move(Name);
  Span.Kind = Kind;
  Span.StartUnixNanoseconds = static_cast<std::uint64_t>(
      std::chrono::duration_cast<duration>(End - Taken).count());
  Span.Duration = Taken;
  return Span;
}

} // namespace

request_observer::request_observer(metrics_registry &Metrics,
                                   caller_usage &Usage, span_listener OnSpan)
    : Usage(Usage), OnSpan(std::move(OnSpan)),
      Calls(countersFor(Metrics, "clementine_calls_total",
                        "Requests answered by the entry side of this node.")),
      Runs(countersFor(Metrics, "clementine_runs_total",
                       "Attempts answered by the gate of this node.")),
      ExtraAttempts(
          Metrics.counterFor("clementine_extra_attempts_total",
                             "Attempts beyond the first of a request.")),
      CallLatency(Metrics.latencyFor(
          "clementine_call_seconds",
          "Time from a request's arrival at the entry to its answer.")),
      QueueTime(Metrics.latencyFor("clementine_queue_seconds",
                                   "Time that attempts waited at the gate.")),
      RunTime(Metrics.latencyFor("clementine_run_seconds",
                                 "Time that attempts ran on the upstream.")) {}

request_observer::outcome_counters
request_observer::countersFor(metrics_registry &Metrics, std::string_view Name,
                              std::string_view Help) {
  outcome_counters Counters{};
  for (std::size_t Level = 0; Level < ImportanceLevels; ++Level)
    for (std::size_t Outcome = 0; Outcome < Outcomes; ++Outcome)
      Counters[Level][Outcome] = &Metrics.counterFor(
          Name, Help,
          {{"importance",
            std::string(importanceName(static_cast<importance>(Level)))},
           {"outcome", std::string(OutcomeNames[Outcome])}});
  return Counters;
}

void request_observer::callEnded(const entry_report &Report) {
  Calls.at(static_cast<std::size_t>(Report.Importance))
      .at(static_cast<std::size_t>(Report.Outcome))
      ->add();
  if (Report.Attempts > 1)
    ExtraAttempts.add(Report.Attempts - 1);
  CallLatency.record(Report.Taken);
  if (Report.Depth == 0)
    Usage.add(Report.Caller, Report.Cost, Report.Taken,
              Report.Outcome == run_outcome::NotRun);
  if (logger::isEnabled(log_level::Debug))
    Log.debug("request ended", {log_field(Report.Request),
                                {"caller", Report.Caller},
                                {"service", Report.Service},
                                {"operation", Report.Operation},
                                {"outcome", nameOf(Report.Outcome)},
                                {"reason", refusalName(Report.Reason)}});
  if (!Report.Trace.Own.Sampled || !OnSpan)
    return;
  span Span = makeSpan(Report.Trace, Report.Service + "/" + Report.Operation,
                       span_kind::Client, Report.Taken);
  Span.Attributes = {
      {"clementine.request", Report.Request.text()},
      {"clementine.caller", Report.Caller},
      {"clementine.outcome", std::string(nameOf(Report.Outcome))},
      {"clementine.reason", std::string(refusalName(Report.Reason))},
      {"clementine.attempts", std::int64_t{Report.Attempts}},
      {"http.response.status_code", std::int64_t{Report.Status}}};
  Span.Status = Report.Outcome == run_outcome::Completed ? span_status::Ok
                                                         : span_status::Error;
  OnSpan(std::move(Span));
}

void request_observer::runEnded(const run_request &Request,
                                const run_answer &Answer,
                                const hop_trace &Trace, duration Queued,
                                duration Ran) {
  Runs.at(static_cast<std::size_t>(Request.Context.Importance))
      .at(static_cast<std::size_t>(Answer.Outcome))
      ->add();
  QueueTime.record(Queued);
  if (Ran > duration::zero())
    RunTime.record(Ran);
  if (!Trace.Own.Sampled || !OnSpan)
    return;
  span Span =
      makeSpan(Trace, "run " + Request.Service + "/" + Request.Operation,
               span_kind::Server, Queued + Ran);
  Span.Attributes = {
      {"clementine.request", Request.Context.Request.text()},
      {"clementine.outcome", std::string(nameOf(Answer.Outcome))},
      {"clementine.reason", std::string(refusalName(Answer.Reason))},
      {"clementine.queued_us",
       std::chrono::duration_cast<std::chrono::microseconds>(Queued).count()}};
  Span.Status = Answer.Outcome == run_outcome::Completed ? span_status::Ok
                                                         : span_status::Error;
  OnSpan(std::move(Span));
}

} // namespace clementine
