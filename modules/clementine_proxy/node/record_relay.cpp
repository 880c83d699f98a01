#include "clementine_proxy/node/record_relay.h"

#include "clementine_core/clementine_core.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace clementine::proxy {

bool isRecordRelay(const std::string &OwnNode,
                   const std::vector<std::string> &NodesOfZone) {
  const std::pair Own(stableHash(OwnNode), std::string_view(OwnNode));
  const auto Earlier =
      std::ranges::count_if(NodesOfZone, [&Own](const std::string &Node) {
        return std::pair(stableHash(Node), std::string_view(Node)) < Own;
      });
  return static_cast<std::size_t>(Earlier) < RelaysPerZone;
}

std::vector<node_record>
selectAdvisers(const std::string &OwnNode,
               const std::vector<node_record> &Records) {
  std::vector<node_record> Others;
  std::ranges::copy_if(
      Records, std::back_inserter(Others),
      [&](const node_record &Each) { return Each.Node != OwnNode; });
  std::ranges::sort(Others, {}, [&](const node_record &Each) {
    return std::pair(stableHash(OwnNode + "/" + Each.Node), Each.Node);
  });
  Others.resize(std::min(Others.size(), AdvisersOfStart));
  return Others;
}

bool isNewerThanRead(const record_update &Update,
                     const store_position &LastRead) {
  // A node of an earlier version does not say which history it has read.
  if (!Update.Era)
    return Update.Revision > LastRead.Revision;
  return LastRead < store_position{Update.Era, Update.Revision};
}

} // namespace clementine::proxy
