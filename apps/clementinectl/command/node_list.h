#ifndef CLEMENTINECTL_COMMAND_NODE_LIST_H
#define CLEMENTINECTL_COMMAND_NODE_LIST_H

#include "clementinectl/command/command.h"

#include <span>

namespace clementine::ctl {

/// A column of a list that nodes answer with.
struct node_column {
  const char *Title;
  const char *Field;
};

/// A list in the answers of nodes, and how it is shown.
struct node_list {
  const char *Path;
  /// The field of the answer that holds the list.
  const char *Name;
  std::span<const node_column> Columns;
};

/// Asks nodes for a list and prints every entry with the node that saw it.
exit_code runNodeList(const command &Self,
                      const std::vector<std::string> &Arguments,
                      command_context &Context, const node_list &List);

} // namespace clementine::ctl

#endif
