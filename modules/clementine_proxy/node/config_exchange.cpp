#include "clementine_proxy/node/config_exchange.h"

#include <algorithm>
#include <utility>

namespace clementine::proxy {

namespace {

/// How long the first configuration waits for the versions of other nodes.
constexpr std::chrono::milliseconds FirstConfigWait{300};

/// How long to wait for a requested configuration before the same version is
/// requested from another node.
constexpr std::chrono::milliseconds RequestInterval{300};

} // namespace

void config_exchange::readFromStore(
    const std::shared_ptr<const routing_config> &Config, std::int64_t Revision,
    instant Now) {
  if (Forwarder.config())
    return apply(Config, "store", Revision);
  if (!Held || Held->Config->Version < Config->Version)
    Held = held_config{Config, Revision};
  if (!HeldSince)
    HeldSince = Now;
  applyHeld(Now);
}

void config_exchange::awaitVersionsOf(std::set<std::string> Nodes) {
  Awaited = std::move(Nodes);
}

void config_exchange::nodeFailed(const std::string &Node) {
  if (Awaited)
    Awaited->erase(Node);
}

void config_exchange::applyHeld(instant Now) {
  if (!Held)
    return;
  const bool HasAllVersions = Awaited && Awaited->empty();
  if (!Forwarder.config() && !HasAllVersions &&
      Now - *HeldSince < FirstConfigWait)
    return;
  const held_config Due = *std::exchange(Held, std::nullopt);
  apply(Due.Config, "store", Due.Revision);
}

std::uint64_t config_exchange::knownVersion() const {
  return std::max(Forwarder.configVersion(),
                  Held ? Held->Config->Version : std::uint64_t{0});
}

void config_exchange::apply(const std::shared_ptr<const routing_config> &Config,
                            std::string_view Source, std::int64_t Revision) {
  const std::uint64_t Before = Forwarder.configVersion();
  if (!Forwarder.setConfig(Config))
    return;
  Log.info("configuration in force", {{"version", Config->Version},
                                      {"before", Before},
                                      {"routes", Config->Routes.size()},
                                      {"source", Source},
                                      {"revision", Revision}});
}

void config_exchange::requestIfNewer(const std::string &Node,
                                     std::uint64_t Version, instant Now) {
  if (Version <= knownVersion()) {
    nodeFailed(Node);
    return applyHeld(Now);
  }
  if (Version <= RequestedVersion && Now - RequestedAt < RequestInterval)
    return;
  RequestedVersion = Version;
  RequestedAt = Now;
  Peers.sendTo(Node, config_request{});
}

void config_exchange::sendCurrent(std::uint64_t Link) {
  if (Forwarder.config())
    Peers.reply(Link, config_transfer{*Forwarder.config()});
}

} // namespace clementine::proxy
