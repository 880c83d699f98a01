#include "clementinectl/command/commands.h"
#include "clementinectl/command/node_list.h"

#include <array>

namespace clementine::ctl {

namespace {

constexpr std::array<node_column, 6> Columns = {{
    {"NODE", "name"},
    {"DATA CENTRE", "data_centre"},
    {"SERVICE", "service"},
    {"HTTP", "http"},
    {"STATE", "state"},
    {"INCARNATION", "incarnation"},
}};

} // namespace

exit_code runNodes(const command &Self,
                   const std::vector<std::string> &Arguments,
                   command_context &Context) {
  return runNodeList(Self, Arguments, Context, {"/v1/nodes", "nodes", Columns});
}

} // namespace clementine::ctl
