#ifndef CLEMENTINE_NODE_GOSSIP_GOSSIP_TASK_H
#define CLEMENTINE_NODE_GOSSIP_GOSSIP_TASK_H

#include "clementine_core/clementine_core.h"
#include "clementine_membership/clementine_membership.h"
#include "clementine_request/entry/service_directory.h"
#include "clementine_security/clementine_security.h"
#include "clementine_transport/gossip/gossip_socket.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace clementine {

/// @returns the part of a view that request routing needs.
service_directory makeServiceDirectory(const member_view &View);

/// Settings of a gossip_task.
struct gossip_task_settings {
  member_record Self;
  membership_settings Membership;
  std::vector<endpoint> Seeds;
  std::uint64_t RandomSeed = 0;
};

/// Runs this node's membership on the thread of its UDP socket.
class gossip_task final : public supervised, private gossip_handler {
public:
  /// Called on the gossip thread after each change of the view.
  using view_listener = std::function<void(const member_view &View)>;

  gossip_task(gossip_task_settings Settings, const peer_key_ring &Keys,
              const clock &Clock, view_listener OnView);
  ~gossip_task() override;

  gossip_task(const gossip_task &) = delete;
  gossip_task &operator=(const gossip_task &) = delete;

  const std::string &name() const override { return Socket.name(); }
  void start() override;

  /// Announces the departure to the peers, then closes the socket.
  void stop() override;

  /// @name From any thread
  void announce(const std::string &Service, std::uint16_t Weight, bool IsCold);
  void leave();
  void watchService(const std::string &Service);
  void announceBundle(std::uint64_t Version, std::uint64_t Digest);

private:
  std::vector<addressed_datagram>
  datagramArrived(const endpoint &From,
                  std::span<const std::byte> Bytes) override;
  std::vector<addressed_datagram> onTick() override;
  std::vector<addressed_datagram>
  addressed(std::vector<outgoing_datagram> Datagrams);
  void renewSubscriptions(instant Now);
  void endWarmup(instant Now);
  void publishView();

  const gossip_task_settings Settings;
  const clock &Clock;
  const view_listener OnView;
  seeded_random Random;
  membership Membership;
  std::set<std::string> SubscribedServices;
  instant NextRenewal{};
  std::optional<instant> WarmupEnd;
  std::uint64_t PublishedVersion = 0;
  bool Departing = false;
  gossip_socket Socket;
};

} // namespace clementine

#endif
