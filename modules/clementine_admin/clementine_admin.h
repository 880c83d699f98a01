/// The HTTP interface of a node for operators: a status page in HTML, metrics
/// for Prometheus and JSON for programs.
///
/// Needs clementine_core, clementine_telemetry, clementine_http,
/// clementine_membership and clementine_admission.
#ifndef CLEMENTINE_ADMIN_H
#define CLEMENTINE_ADMIN_H

#include "clementine_admin/server/admin_handler.h"
#include "clementine_admin/server/admin_server.h"
#include "clementine_admin/status/admin_source.h"
#include "clementine_admin/status/node_status.h"
#include "clementine_admin/views/status_json.h"
#include "clementine_admin/views/status_metrics.h"
#include "clementine_admin/views/status_page.h"

#endif
