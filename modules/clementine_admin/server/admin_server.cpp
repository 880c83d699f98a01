#include "clementine_admin/server/admin_server.h"

namespace clementine {

namespace {

constexpr std::chrono::seconds IdleLimit{30};

http_server_settings settingsFor(const endpoint &Listen) {
  http_server_settings Settings;
  Settings.Listen = Listen;
  Settings.LargestBody = admin_server::LargestBody;
  Settings.MostConnections = admin_server::MostConnections;
  Settings.IdleLimit = IdleLimit;
  return Settings;
}

} // namespace

admin_server::admin_server(const endpoint &Listen, const admin_source &Source,
                           metrics_registry &Metrics)
    : Handler(Source, Metrics), Server("admin", settingsFor(Listen), Handler) {}

} // namespace clementine
