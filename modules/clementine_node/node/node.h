#ifndef CLEMENTINE_NODE_NODE_NODE_H
#define CLEMENTINE_NODE_NODE_NODE_H

#include "clementine_core/clementine_core.h"
#include "clementine_settings/clementine_settings.h"

#include <memory>

namespace clementine {

/// One node: every duty of the process beside one upstream, as a tree of
/// supervisors.
class node {
public:
  /// @param Settings as readSettings() gives them.
  /// @throws std::system_error when the platform's client cannot be made.
  explicit node(const node_settings &Settings);
  ~node();

  node(const node &) = delete;
  node &operator=(const node &) = delete;

  /// Binds the sockets and starts every duty.
  /// @throws std::system_error when an address cannot be bound.
  void start();

  /// Leaves gracefully: takes no new work, finishes what is in flight within
  /// the grace of the settings, then stops every duty.
  /// @returns whether everything in flight was finished.
  bool stop();

private:
  class implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace clementine

#endif
