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

/// Answers the queries of other data centres and, while the lease of a query
/// runs, tells the asker when the members of its services change.
///
/// Each asker is told the members of a large service that rendezvous hashing
/// gives it, so that askers spread over all of them.
class query_server {
public:
  query_server(const membership_settings &Settings, member_table &Table,
               remote_directory &Directory, outbox &Outbox);

  query_server(const query_server &) = delete;
  query_server &operator=(const query_server &) = delete;

  /// Answers a Query, or tells any other message's sender whom to ask here.
  void answer(const endpoint &From, const gossip_message &Message, instant Now);

  /// Hears of a change of a member of the own data centre.
  void changed(member_key Key, const merge_outcome &Outcome, instant Now);
  /// Hears that the members of @p Service changed.
  void changed(std::string_view Service, instant Now);

  /// Tells askers of changes.
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
  void tell(const endpoint &To, member_key Asker,
            const std::vector<service_digest> &Services, bool WithContacts,
            std::uint32_t AskersCentre, instant Now);
  std::vector<const member_entry *> choose(std::uint32_t Service,
                                           member_key Asker) const;
  gossip_message emptyAnswer() const;
  void addContacts(gossip_message &Answer, std::uint32_t AskersCentre);

  const membership_settings &Settings;
  member_table &Table;
  remote_directory &Directory;
  outbox &Outbox;
  std::vector<subscriber> Subscribers;
  instant NextPush = instant::max();
  std::size_t ContactTurn = 0;
};

} // namespace clementine

#endif
