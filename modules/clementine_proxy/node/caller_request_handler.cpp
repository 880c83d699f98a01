#include "clementine_proxy/node/caller_request_handler.h"

#include "clementine_proxy/model/boot_clock.h"

#include <utility>

namespace clementine::proxy {

namespace {

constexpr unsigned BadGateway = 502;

instant now() { return boot_clock().now(); }

} // namespace

caller_request_handler::caller_request_handler(forwarder &Forwarder,
                                               metrics_registry &Metrics,
                                               fault_guard &Faults,
                                               std::function<void()> Changed)
    : Forwarder(Forwarder), Metrics(Metrics), Faults(Faults),
      Changed(std::move(Changed)),
      Latency(Metrics.latencyFor("clementine_request_seconds",
                                 "Time from a caller's request to its "
                                 "answer.")) {}

void caller_request_handler::answer(call_number Call, response Response) {
  const auto Found = PendingCalls.find(Call);
  if (Found == PendingCalls.end())
    return;
  const pending_call Pending = std::move(Found->second);
  PendingCalls.erase(Found);
  Latency.record(now() - Pending.ReceivedAt);
  Metrics
      .counterFor("clementine_answers_total", "Answers given to callers.",
                  {{"status", std::to_string(Response.Status)}})
      .add();
  Faults.run("response", std::to_string(Call),
             [&] { Pending.Respond(std::move(Response)); });
}

void caller_request_handler::handle(request Request, responder Respond,
                                    disconnect_callback &OnDisconnect) {
  const call_number Call = ++LastCall;
  PendingCalls.emplace(Call, pending_call{std::move(Respond), now()});
  OnDisconnect = [this, Call] {
    PendingCalls.erase(Call);
    Forwarder.callerDisconnected(Call, now());
    Changed();
  };
  const bool HasBegun = Faults.run("request", std::to_string(Call), [&] {
    Forwarder.begin(Call, std::move(Request), now());
  });
  if (!HasBegun) {
    Faults.run("request", std::to_string(Call),
               [&] { Forwarder.callerDisconnected(Call, now()); });
    response Response;
    Response.Status = BadGateway;
    answer(Call, std::move(Response));
  }
  Changed();
}

caller_limits caller_request_handler::limits() const {
  return Forwarder.config() ? Forwarder.config()->Limits : caller_limits{};
}

} // namespace clementine::proxy
