#ifndef CLEMENTINE_ADMIN_SERVER_ADMIN_SERVER_H
#define CLEMENTINE_ADMIN_SERVER_ADMIN_SERVER_H

#include "clementine_admin/server/admin_handler.h"

namespace clementine {

/// The node's HTTP server for operators, on a separate port.
///
/// It accepts few connections and only small bodies, so that a misbehaving
/// scraper cannot exhaust the node's memory.
class admin_server final : public supervised {
public:
  /// The maximum number of concurrent connections.
  static constexpr unsigned MostConnections = 16;
  /// The maximum body size, in bytes; no view needs a body.
  static constexpr std::size_t LargestBody = 1024;

  /// @param Source and @p Metrics have to outlive the server.
  admin_server(const endpoint &Listen, const admin_source &Source,
               metrics_registry &Metrics);

  admin_server(const admin_server &) = delete;
  admin_server &operator=(const admin_server &) = delete;

  const std::string &name() const override { return Server.name(); }

  /// @throws std::system_error when the address cannot be bound.
  void start() override { Server.start(); }
  void stop() override { Server.stop(); }

private:
  admin_handler Handler;
  http_server Server;
};

} // namespace clementine

#endif
