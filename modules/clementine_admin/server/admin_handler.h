#ifndef CLEMENTINE_ADMIN_SERVER_ADMIN_HANDLER_H
#define CLEMENTINE_ADMIN_SERVER_ADMIN_HANDLER_H

#include "clementine_admin/status/admin_source.h"
#include "clementine_admin/views/status_metrics.h"
#include "clementine_http/server/http_server.h"
#include "clementine_telemetry/metrics/metrics_registry.h"

namespace clementine {

/// Handles the operators' requests: GET (or HEAD) of `/status`, `/metrics`,
/// `/v1/bundle`, `/v1/nodes`, `/v1/upstreams` and `/v1/callers`.
///
/// The metrics include the gauges of status_metrics, which each request for
/// `/metrics` updates. Any other path returns 404 with the list of paths, any
/// other method 405, and a view of a node that has no status yet 503.
class admin_handler final : public http_handler {
public:
  /// @param Source and @p Metrics have to outlive the handler.
  admin_handler(const admin_source &Source, metrics_registry &Metrics)
      : Source(Source), Metrics(Metrics), Gauges(Metrics) {}

  admin_handler(const admin_handler &) = delete;
  admin_handler &operator=(const admin_handler &) = delete;

  http_response handle(const http_request &Request) override;

private:
  const admin_source &Source;
  metrics_registry &Metrics;
  status_metrics Gauges;
};

} // namespace clementine

#endif
