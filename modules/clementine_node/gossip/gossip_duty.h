#ifndef CLEMENTINE_NODE_GOSSIP_GOSSIP_DUTY_H
#define CLEMENTINE_NODE_GOSSIP_GOSSIP_DUTY_H

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

/// @returns what requests need of a view.
service_directory directoryOf(const member_view &View);

/// How a gossip_duty runs.
struct gossip_duty_settings {
  member_record Self;
  membership_settings Membership;
  std::vector<endpoint> Seeds;
  std::uint64_t RandomSeed = 0;
};

/// Runs this node's membership on the thread of its UDP socket.
class gossip_duty final : public supervised, private gossip_handler {
public:
  /// Called on the gossip's thread after each change of the view.
  using view_listener = std::function<void(const member_view &View)>;

  gossip_duty(gossip_duty_settings Settings, const peer_key_ring &Keys,
              const clock &Clock, view_listener OnView);
  ~gossip_duty() override;

  gossip_duty(const gossip_duty &) = delete;
  gossip_duty &operator=(const gossip_duty &) = delete;

  const std::string &name() const override { return Socket.name(); }
  void start() override;

  /// Says good-bye to the peers, then closes the socket.
  void stop() override;

  /// @name From any thread
  void announce(const std::string &Service, std::uint16_t Weight, bool IsCold);
  void leave();
  void want(const std::string &Service);
  void holdBundle(std::uint64_t Version, std::uint64_t Digest);

private:
  std::vector<addressed_datagram>
  datagramArrived(const endpoint &From,
                  std::span<const std::byte> Bytes) override;
  std::vector<addressed_datagram> onTick() override;
  std::vector<addressed_datagram>
  addressed(std::vector<outgoing_datagram> Datagrams);
  void renewWants(instant Now);
  void endWarming(instant Now);
  void publishView();

  const gossip_duty_settings Settings;
  const clock &Clock;
  const view_listener OnView;
  seeded_random Random;
  membership Membership;
  std::set<std::string> Wanted;
  instant NextWant{};
  std::optional<instant> WarmAt;
  std::uint64_t PublishedVersion = 0;
  bool Departing = false;
  gossip_socket Socket;
};

} // namespace clementine

#endif
