#include "clementine_proxy/node/config_exchange.h"

namespace clementine::proxy {

namespace {

/// A node that was asked has so long before another one is asked.
constexpr std::chrono::milliseconds AskPause{300};

} // namespace

void config_exchange::use(const std::shared_ptr<const routing_config> &Config,
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

void config_exchange::heardOf(const std::string &Node, std::uint64_t Version,
                              instant Now) {
  if (Version <= Forwarder.configVersion() ||
      (Version <= AskedVersion && Now - AskedAt < AskPause))
    return;
  AskedVersion = Version;
  AskedAt = Now;
  Peers.sendTo(Node, config_request{});
}

void config_exchange::asked(std::uint64_t Link) {
  if (Forwarder.config())
    Peers.reply(Link, config_transfer{*Forwarder.config()});
}

} // namespace clementine::proxy
