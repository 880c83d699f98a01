#ifndef CLEMENTINE_MEMBERSHIP_REMOTE_QUERY_SERVER_H
#define CLEMENTINE_MEMBERSHIP_REMOTE_QUERY_SERVER_H

#include "clementine_membership/members/member_table.h"
#include "clementine_membership/remote/remote_directory.h"
#include "clementine_membership/spread/outbox.h"

#include <cstdint>
#include <set>
#include <string_view>
#include <vector>

namespace clementine {

/// Answers the queries of other data centres and, while the lease of a query is
/// valid, notifies the requester when the members of its services change.
///
/// For a large service, rendezvous hashing selects the members in the answer,
/// so that requesters are spread over all members.
class query_server {
public:
  query_server(const membership_settings &Settings, member_table &Table,
               remote_directory &Directory, outbox &Outbox);

  query_server(const query_server &) = delete;
  query_server &operator=(const query_server &) = delete;

  /// Answers a Query, or sends contacts in this data centre to the sender of
  /// any other message.
  void answer(const endpoint &From, const gossip_message &Message, instant Now);

  /// Schedules notifications after a change of a member of the local data
  /// centre.
  void memberChanged(member_key Key, const merge_outcome &Outcome, instant Now);
  /// Schedules notifications after a change of the members of @p Service.
  void serviceChanged(std::string_view Service, instant Now);

  /// Sends the notifications of changes that are due.
  void tick(instant Now);
  /// @returns when tick() has work.
  instant nextWake() const { return NextPush; }

private:
  struct subscriber {
    member_key Key = 0;
    endpoint From;
    std::set<std::uint32_t> Services;
    std::set<std::uint32_t> Changed;
    instant LeaseEnds{};
  };

  void subscribe(const endpoint &From, const gossip_message &Message,
                 instant Now);
  void sendAnswer(const endpoint &To, member_key Requester,
                  const std::vector<service_digest> &Services,
                  bool WithContacts, std::uint32_t RequesterCentre,
                  instant Now);
  std::vector<const member_entry *> selectMembers(std::uint32_t Service,
                                                  member_key Requester) const;
  gossip_message emptyAnswer() const;
  void addContacts(gossip_message &Answer, std::uint32_t RequesterCentre);

  const membership_settings &Settings;
  member_table &Table;
  remote_directory &Directory;
  outbox &Outbox;
  std::vector<subscriber> Subscribers;
  instant NextPush = instant::max();
  std::size_t NextContactIndex = 0;
};

} // namespace clementine

#endif
