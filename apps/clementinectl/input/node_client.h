#ifndef CLEMENTINECTL_INPUT_NODE_CLIENT_H
#define CLEMENTINECTL_INPUT_NODE_CLIENT_H

#include "clementine_core/errors/result.h"

#include <cstdint>
#include <string>

namespace clementine::ctl {

/// Why a request to a node's admin port failed.
struct node_error {
  enum class fault : std::uint8_t { Unreachable, BadStatus, NotJson };

  fault Fault = fault::Unreachable;
  /// The HTTP status, or 0 if none was received.
  long Status = 0;

  bool operator==(const node_error &) const = default;

  /// @returns a short description, to follow the node's address in a message.
  std::string text() const;
};

/// Reads a path of a node's admin port with the client of ulfius. It opens a
/// connection for each request, which is acceptable because each node is
/// queried once.
/// @param Node such as `127.0.0.1:7003`.
/// @returns the body of a response with status 200.
result<std::string, node_error> fetchNode(const std::string &Node,
                                          const std::string &Path);

} // namespace clementine::ctl

#endif
