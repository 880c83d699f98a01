#ifndef CLEMENTINE_PROXY_NODE_COMPONENT_SETTINGS_H
#define CLEMENTINE_PROXY_NODE_COMPONENT_SETTINGS_H

#include "clementine_proxy/entry/forwarder.h"
#include "clementine_proxy/entry/instance_directory.h"
#include "clementine_proxy/gate/instance_client.h"
#include "clementine_proxy/settings/proxy_settings.h"

namespace clementine::proxy {

/// @name The settings of a node's components, derived from those of the node
directory_settings directorySettingsOf(const proxy_settings &Settings);
/// @param Incarnation of this process; see node_record.
forwarder_settings forwarderSettingsOf(const proxy_settings &Settings,
                                       std::uint64_t Incarnation);
instance_client_settings clientSettingsOf(const proxy_settings &Settings);

} // namespace clementine::proxy

#endif
