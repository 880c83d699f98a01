#ifndef CLEMENTINECTL_INPUT_NODE_CLIENT_H
#define CLEMENTINECTL_INPUT_NODE_CLIENT_H

#include "clementine_core/errors/result.h"

#include <cstdint>
#include <string>

namespace clementine::ctl {

/// Why a node's admin port gave no usable answer.
struct node_error {
  enum class fault : std::uint8_t { Unreachable, BadStatus, NotJson };

  fault Fault = fault::Unreachable;
  /// The HTTP status, or 0 if none came.
  long Status = 0;

  bool operator==(const node_error &) const = default;

  /// @returns a short sentence for people.
  std::string text() const;
};

/// Reads a path of a node's admin port with the client of ulfius. Its
/// connection for each request does no harm here, where each node is asked
/// once.
/// @param Node such as `127.0.0.1:7003`.
/// @returns the body of an answer 200.
result<std::string, node_error> fetchNode(const std::string &Node,
                                          const std::string &Path);

} // namespace clementine::ctl

#endif
