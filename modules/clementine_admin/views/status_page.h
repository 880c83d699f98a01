#ifndef CLEMENTINE_ADMIN_VIEWS_STATUS_PAGE_H
#define CLEMENTINE_ADMIN_VIEWS_STATUS_PAGE_H

#include "clementine_admin/status/node_status.h"

#include <string>

namespace clementine {

/// The maximum number of rows of a table on the status page; the page states
/// how many more there are.
constexpr std::size_t MaxPageRows = 500;

/// Writes the status as an HTML page without scripts. Every value is escaped.
std::string statusPage(const node_status &Status);

} // namespace clementine

#endif
