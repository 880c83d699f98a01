#include "clementine_request/entry/service_directory.h"

#include "clementine_core/random/random_source.h"

#include <algorithm>
#include <utility>

namespace clementine {

const std::vector<service_instance> &
service_directory::instancesOf(std::string_view Service) const {
  static const std::vector<service_instance> None;
  const auto Found = Services.find(Service);
  return Found == Services.end() ? None : Found->second;
}

const service_instance *service_directory::find(std::string_view Service,
                                                std::string_view Node) const {
  for (const service_instance &Instance : instancesOf(Service))
    if (Instance.Candidate.Node.Name == Node)
      return &Instance;
  return nullptr;
}

std::vector<service_instance>
rendezvousOrder(const std::vector<service_instance> &Instances,
                std::string_view Key, std::size_t MaxCount) {
  const std::uint64_t KeyHash = stableHash(Key);
  std::vector<std::pair<std::uint64_t, const service_instance *>> Ranked;
  Ranked.reserve(Instances.size());
  for (const service_instance &Instance : Instances) {
    const std::uint64_t NodeHash = stableHash(Instance.Candidate.Node.Name);
    Ranked.emplace_back(mixBits(KeyHash ^ NodeHash), &Instance);
  }
  std::sort(Ranked.begin(), Ranked.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first > Right.first;
            });
  std::vector<service_instance> Order;
  for (const auto &[Hash, Instance] : Ranked) {
    if (Order.size() == MaxCount)
      break;
    Order.push_back(*Instance);
  }
  return Order;
}

} // namespace clementine
