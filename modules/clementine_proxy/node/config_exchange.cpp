#include "clementine_proxy/node/config_exchange.h"

namespace clementine::proxy {

namespace {

/// How long to wait for a requested configuration before the same version is
/// requested from another node.
constexpr std::chrono::milliseconds RequestInterval{300};

} // namespace

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
  if (Version <= Forwarder.configVersion() ||
      (Version <= RequestedVersion && Now - RequestedAt < RequestInterval))
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
