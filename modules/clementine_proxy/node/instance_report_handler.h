#ifndef CLEMENTINE_PROXY_NODE_INSTANCE_REPORT_HANDLER_H
#define CLEMENTINE_PROXY_NODE_INSTANCE_REPORT_HANDLER_H

#include "clementine_proxy/gate/instance_book.h"
#include "clementine_proxy/node/deployment_adapter.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <functional>

namespace clementine::proxy {

/// Takes what the instance beside this node says, into its book.
class instance_report_handler {
public:
  /// Hears that the book has changed.
  /// @param IsNewRun whether another run of an instance is the present one.
  using listener = std::function<void(bool IsNewRun)>;

  /// @param Book has to outlive the desk.
  instance_report_handler(instance_book &Book, listener Changed)
      : Book(Book), Changed(std::move(Changed)) {}

  instance_report_handler(const instance_report_handler &) = delete;
  instance_report_handler &operator=(const instance_report_handler &) = delete;

  /// Takes what the former process of this node confirmed, and opens the book;
  /// does nothing a second time.
  void begin(const std::optional<instance_run> &Departed);

  /// @returns whether the content concerns this node; what it changes binds
  /// before the call returns.
  bool take(const instance_call_content &Content);

private:
  bool report(const instance_report &Report);
  bool leave(const instance_departure &Departure);

  instance_book &Book;
  const listener Changed;
  const logger Log{"node"};
};

} // namespace clementine::proxy

#endif
