#ifndef CLEMENTINE_PROXY_CLEMENTINE_PROXY_H
#define CLEMENTINE_PROXY_CLEMENTINE_PROXY_H

/// The node of a deployment in which callers and instances use plain HTTP:
/// routing, forwarding between nodes, and admission to the local instance.
///
/// Needs clementine_core, clementine_admission, clementine_platform,
/// clementine_settings, clementine_telemetry, clementine_wire, Boost.Asio,
/// Boost.Beast, cereal and nlohmann-json.

#include "clementine_proxy/entry/forwarder.h"
#include "clementine_proxy/entry/instance_directory.h"
#include "clementine_proxy/entry/service_retry_budget.h"
#include "clementine_proxy/gate/instance_client.h"
#include "clementine_proxy/gate/instance_gate.h"
#include "clementine_proxy/gate/instance_notice.h"
#include "clementine_proxy/gate/instance_registration.h"
#include "clementine_proxy/http/header_names.h"
#include "clementine_proxy/http/http_listener.h"
#include "clementine_proxy/http/http_session.h"
#include "clementine_proxy/http/message_reader.h"
#include "clementine_proxy/http/messages.h"
#include "clementine_proxy/http/write_progress.h"
#include "clementine_proxy/model/boot_clock.h"
#include "clementine_proxy/model/input_text.h"
#include "clementine_proxy/model/instance_record.h"
#include "clementine_proxy/model/json_text.h"
#include "clementine_proxy/model/message_limits.h"
#include "clementine_proxy/model/routing_config.h"
#include "clementine_proxy/node/batch_backoff.h"
#include "clementine_proxy/node/deployment_adapter.h"
#include "clementine_proxy/node/proxy_node.h"
#include "clementine_proxy/node/record_relay.h"
#include "clementine_proxy/peers/peer_link.h"
#include "clementine_proxy/peers/peer_messages.h"
#include "clementine_proxy/peers/transit_delay.h"
#include "clementine_proxy/settings/proxy_settings.h"

#endif
