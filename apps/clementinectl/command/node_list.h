#ifndef CLEMENTINECTL_COMMAND_NODE_LIST_H
#define CLEMENTINECTL_COMMAND_NODE_LIST_H

#include "clementinectl/command/command.h"

#include <span>

namespace clementine::ctl {

/// A column of a list in the responses of nodes.
struct node_column {
  const char *Title;
  const char *Field;
};

/// A list in the responses of nodes, and its columns.
struct node_list {
  const char *Path;
  /// The field of the response that contains the list.
  const char *Name;
  std::span<const node_column> Columns;
};

/// Requests a list from the nodes and prints every entry with the node that
/// reported it.
exit_code runNodeList(const command &Self,
                      const std::vector<std::string> &Arguments,
                      command_context &Context, const node_list &List);

} // namespace clementine::ctl

#endif
