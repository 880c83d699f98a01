#ifndef CLEMENTINE_NODE_NODE_NODE_H
#define CLEMENTINE_NODE_NODE_NODE_H

#include "clementine_core/clementine_core.h"
#include "clementine_settings/clementine_settings.h"

#include <memory>

namespace clementine {

/// One node: all tasks of the process that runs on the same VM as one upstream,
/// as a tree of supervisors.
class node {
public:
  /// @param Settings as readSettings() returns them.
  /// @throws std::system_error when the platform's client cannot be created.
  explicit node(const node_settings &Settings);
  ~node();

  node(const node &) = delete;
  node &operator=(const node &) = delete;

  /// Binds the sockets and starts all tasks.
  /// @throws std::system_error when an address cannot be bound.
  void start();

  /// Shuts down gracefully: accepts no new work, finishes the requests in
  /// flight within the grace period of the settings, then stops all tasks.
  /// @returns whether all requests in flight were finished.
  bool stop();

private:
  class implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace clementine

#endif
