#ifndef CLEMENTINE_ADMIN_VIEWS_STATUS_JSON_H
#define CLEMENTINE_ADMIN_VIEWS_STATUS_JSON_H

#include "clementine_admin/status/node_status.h"

#include <cstddef>
#include <string>

namespace clementine {

/// The maximum number of list entries in one response. A longer list is
/// truncated, which the fields `total` and `truncated` report.
constexpr std::size_t MaxListedEntries = 5000;

/// The response to `/v1/bundle`.
std::string bundleJson(const node_status &Status);

/// The response to `/v1/nodes`.
std::string nodesJson(const node_status &Status);

/// The response to `/v1/upstreams`.
std::string upstreamsJson(const node_status &Status);

/// The response to `/v1/callers`.
std::string callersJson(const node_status &Status);

} // namespace clementine

#endif
