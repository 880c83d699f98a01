#include "clementinectl/command/commands.h"
#include "clementinectl/command/node_list.h"

#include <array>

namespace clementine::ctl {

namespace {

constexpr std::array<node_column, 9> Columns = {{
    {"SERVICE", "service"},
    {"NODE", "node"},
    {"DATA CENTRE", "data_centre"},
    {"DRAINING", "draining"},
    {"IN FLIGHT", "in_flight"},
    {"LIMIT", "limit"},
    {"QUEUED", "queued"},
    {"LEVEL", "level"},
    {"MEAN SECONDS", "mean_latency_seconds"},
}};

} // namespace

exit_code runUpstreams(const command &Self,
                       const std::vector<std::string> &Arguments,
                       command_context &Context) {
  return runNodeList(Self, Arguments, Context,
                     {"/v1/upstreams", "upstreams", Columns});
}

} // namespace clementine::ctl
