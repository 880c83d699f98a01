#include "clementine_admin/server/admin_handler.h"

#include "clementine_admin/views/status_json.h"
#include "clementine_admin/views/status_page.h"

#include <algorithm>
#include <array>

namespace clementine {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusMethodNotAllowed = 405;
constexpr unsigned StatusUnavailable = 503;

constexpr std::string_view MetricsPath = "/metrics";
constexpr auto PlainText = "text/plain; charset=utf-8";
constexpr auto PrometheusText = "text/plain; version=0.0.4; charset=utf-8";
constexpr auto Json = "application/json";
constexpr auto Html = "text/html; charset=utf-8";

/// A path and the function that writes its content.
struct status_view {
  std::string_view Path;
  const char *ContentType;
  std::string (*Write)(const node_status &);
};

constexpr std::array<status_view, 5> Views = {{
    {"/status", Html, &statusPage},
    {"/v1/bundle", Json, &bundleJson},
    {"/v1/nodes", Json, &nodesJson},
    {"/v1/upstreams", Json, &upstreamsJson},
    {"/v1/callers", Json, &callersJson},
}};

http_response answer(unsigned Status, const char *ContentType,
                     std::string Body) {
  return {Status,
          {{"Content-Type", ContentType}, {"Cache-Control", "no-store"}},
          std::move(Body)};
}

http_response notFound() {
  std::string Body = "There is nothing at this path. Paths: /metrics";
  for (const status_view &View : Views)
    Body.append(", ").append(View.Path);
  return answer(StatusNotFound, PlainText, Body + "\n");
}

http_response methodNotAllowed() {
  auto Answer = answer(StatusMethodNotAllowed, PlainText,
                       "Only GET and HEAD are allowed.\n");
  Answer.Headers["Allow"] = "GET, HEAD";
  return Answer;
}

http_response noStatus() {
  auto Answer = answer(StatusUnavailable, PlainText,
                       "The node is starting and has no status yet.\n");
  Answer.Headers["Retry-After"] = "1";
  return Answer;
}

} // namespace

http_response admin_handler::handle(const http_request &Request) {
  const auto Found =
      std::find_if(Views.begin(), Views.end(), [&](const status_view &View) {
        return View.Path == Request.Path;
      });
  if (Found == Views.end() && Request.Path != MetricsPath)
    return notFound();
  if (Request.Method != "GET" && Request.Method != "HEAD")
    return methodNotAllowed();
  const auto Status = Source.status();
  if (Found == Views.end()) {
    if (Status != nullptr)
      Gauges.update(*Status);
    return answer(StatusOk, PrometheusText, Metrics.prometheusText());
  }
  if (Status == nullptr)
    return noStatus();
  return answer(StatusOk, Found->ContentType, Found->Write(*Status));
}

} // namespace clementine
