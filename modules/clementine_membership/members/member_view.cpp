#include "clementine_membership/members/member_view.h"

#include <algorithm>

namespace clementine {

const member_view::member_list &
member_view::membersOf(std::string_view Service) const {
  static const member_list None;
  const auto Found = ByService.find(Service);
  return Found == ByService.end() ? None : Found->second;
}

shared_member member_view::find(std::string_view Name) const {
  const auto Found = std::lower_bound(
      Local.begin(), Local.end(), Name,
      [](const shared_member &Member, std::string_view Sought) {
        return Member->Identity.Name < Sought;
      });
  if (Found == Local.end() || (*Found)->Identity.Name != Name)
    return nullptr;
  return *Found;
}

} // namespace clementine
