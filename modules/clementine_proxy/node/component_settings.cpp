#include "clementine_proxy/node/component_settings.h"

namespace clementine::proxy {

namespace {

/// Each node limits its retries to this share of the ratio that is allowed over
/// all nodes.
constexpr double NodeRetryShare = 0.7;

} // namespace

directory_settings directorySettingsOf(const proxy_settings &Settings) {
  directory_settings Directory;
  Directory.OwnNode = Settings.Name;
  Directory.OwnZone = Settings.Zone;
  return Directory;
}

forwarder_settings forwarderSettingsOf(const proxy_settings &Settings,
                                       std::uint64_t Incarnation) {
  forwarder_settings Forwarder;
  Forwarder.OwnNode = Settings.Name;
  Forwarder.OwnService = Settings.Service;
  Forwarder.Incarnation = Incarnation;
  Forwarder.Retries.Window = Settings.RetryWindow;
  Forwarder.Retries.Ratio = NodeRetryShare * Settings.RetryRatio.Value;
  return Forwarder;
}

instance_client_settings clientSettingsOf(const proxy_settings &Settings) {
  instance_client_settings Client;
  Client.Address = Settings.InstanceAddress;
  return Client;
}

} // namespace clementine::proxy
