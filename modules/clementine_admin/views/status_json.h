#ifndef CLEMENTINE_ADMIN_VIEWS_STATUS_JSON_H
#define CLEMENTINE_ADMIN_VIEWS_STATUS_JSON_H

#include "clementine_admin/status/node_status.h"

#include <cstddef>
#include <string>

namespace clementine {

/// The most entries of a list in one answer. A longer list is cut, and the
/// answer's `total` and `truncated` say so.
constexpr std::size_t MaxListedEntries = 5000;

/// The answer to `/v1/bundle`.
std::string bundleJson(const node_status &Status);

/// The answer to `/v1/nodes`.
std::string nodesJson(const node_status &Status);

/// The answer to `/v1/upstreams`.
std::string upstreamsJson(const node_status &Status);

/// The answer to `/v1/callers`.
std::string callersJson(const node_status &Status);

} // namespace clementine

#endif
