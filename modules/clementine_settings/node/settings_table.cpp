#include "clementine_settings/node/settings_table.h"

#include "clementine_settings/values/value_format.h"

#include <array>
#include <type_traits>

namespace clementine {

namespace {

using settings = node_settings;
using enum setting_presence;

constexpr auto Table = std::to_array<setting>({
    {"node", "name", &settings::Name, Required, "", "", "64",
     "The name of the VM's slot. It outlives restarts and is unique in the "
     "whole system."},
    {"node", "data_centre", &settings::DataCentre, Required, "", "", "32",
     "The data centre in which the VM stands."},
    {"node", "http_listen", &settings::HttpListen, Required, "", "", "",
     "Where callers and the upstream's own sub-calls reach the node (HTTP)."},
    {"node", "peer_listen", &settings::PeerListen, Required, "", "", "",
     "Where other nodes reach the node for requests and bundle parts (TCP)."},
    {"node", "gossip_listen", &settings::GossipListen, Required, "", "", "",
     "Where other nodes reach the node for membership (UDP)."},
    {"node", "admin_listen", &settings::AdminListen, Required, "", "", "",
     "Where operators reach the status page, the metrics and the JSON views "
     "(HTTP)."},

    {"upstream", "service", &settings::UpstreamService, Required, "", "", "48",
     "The service that the upstream beside the node belongs to."},
    {"upstream", "address", &settings::UpstreamAddress, Optional, "", "", "",
     "Where the upstream listens (HTTP). Without it the node waits until the "
     "upstream announces itself."},
    {"upstream", "connections", &settings::UpstreamConnections, Defaulted,
     "200", "1", "10000",
     "The most connections that the node holds open to its upstream."},

    {"platform", "url", &settings::PlatformUrl, Optional, "", "", "",
     "The platform's key-value service. Without it the node learns bundles "
     "and members from its peers only."},
    {"platform", "timeout", &settings::PlatformTimeout, Defaulted, "2s", "10ms",
     "1min", "How long the node waits for one answer of the platform."},

    {"membership", "seeds", &settings::Seeds, Optional, "", "", "",
     "The gossip addresses of nodes to ask first at the start, with commas "
     "between them."},
    {"membership", "probe_interval", &settings::ProbeInterval, Defaulted, "1s",
     "50ms", "1min", "The time between two probes that the node sends."},
    {"membership", "suspicion", &settings::SuspicionMultiplier, Defaulted, "2",
     "1", "10",
     "How long a silent member may refute before it counts as failed: probe "
     "intervals for each power of ten of the number of members."},
    {"membership", "bytes_per_second", &settings::GossipBytesPerSecond,
     Defaulted, "900B", "200B", "1MiB",
     "The most that gossip sends in a second over a long time, headers of IP "
     "and UDP included."},

    {"bundle", "trusted_keys", &settings::TrustedKeys, Optional, "", "", "",
     "The owners whose signatures the node accepts on a bundle, each with an "
     "Ed25519 public key, with commas between them."},
    {"bundle", "file", &settings::BundleFile, Optional, "", "", "",
     "A signed bundle that the node starts with, until it learns a higher "
     "version."},

    {"security", "peer_keys", &settings::PeerKeys, Required, "", "", "8",
     "The secrets that nodes share, with commas between them. The node signs "
     "with the first and accepts all.",
     setting_secrecy::Secret},

    {"admission", "limiter", &settings::Limiter, Defaulted, "learned", "", "",
     "How the concurrency of the upstream is limited."},
    {"admission", "static_limit", &settings::StaticLimit, Defaulted, "100", "1",
     "100000", "The concurrency limit when limiter is static."},
    {"admission", "initial_limit", &settings::InitialLimit, Defaulted, "20",
     "1", "100000", "The first concurrency limit when limiter is learned."},
    {"admission", "queue_per_slot", &settings::QueuePerSlot, Defaulted, "1",
     "0", "10",
     "How many requests may wait in the node for each slot of the concurrency "
     "limit."},

    {"retries", "share", &settings::RetryShare, Defaulted, "0.1", "0", "1",
     "The most retries to a service, as a share of its first attempts."},

    {"limits", "caller_connections", &settings::CallerConnections, Defaulted,
     "500", "1", "20000", "The most connections that callers hold open."},
    {"limits", "body_bytes", &settings::BodyBytes, Defaulted, "256KiB", "1KiB",
     "16MiB", "The largest body of a request or an answer."},
    {"limits", "ledger_entries", &settings::LedgerEntries, Defaulted, "20000",
     "100", "10000000",
     "The most records of requests that may not be repeated. A full ledger "
     "refuses new ones."},
    {"limits", "ledger_keep", &settings::LedgerKeep, Defaulted, "10min", "1s",
     "24h", "How long a record is kept after its request has ended."},

    {"telemetry", "log_level", &settings::LogLevel, Defaulted, "info", "", "",
     "The least severe log records that are written."},
    {"telemetry", "span_collector", &settings::SpanCollector, Optional, "", "",
     "",
     "Where spans are sent (OTLP/JSON over HTTP). Without it none are sent."},
    {"telemetry", "sample_share", &settings::SampleShare, Defaulted, "0.01",
     "0", "1",
     "The share of traces whose spans are sent. A trace is sent whole or not "
     "at all."},

    {"stop", "grace", &settings::StopGrace, Defaulted, "30s", "100ms", "1h",
     "How long a planned stop waits for the requests in flight."},
});

template <class Value> constexpr bool IsList = false;
template <class Value> constexpr bool IsList<std::vector<Value>> = true;

/// @returns the format of the setting's value, with its range.
template <class Value>
std::string formatText(const setting &Setting, Value node_settings::*) {
  std::string Form(value_format<Value>::Form);
  const std::string Highest(Setting.Highest);
  if constexpr (IsList<Value>)
    return "a list of up to " +
           (Highest.empty() ? std::to_string(MaxListElements) : Highest) +
           " elements with commas between them, each " + Form;
  if (Highest.empty())
    return Form;
  if constexpr (std::is_same_v<Value, std::string>)
    return Form + ", at most " + Highest + " characters";
  return Form + ", from " + std::string(Setting.Lowest) + " to " + Highest;
}

} // namespace

std::span<const setting> settingsTable() { return Table; }

std::string allowedText(const setting &Setting) {
  return std::visit([&](auto Member) { return formatText(Setting, Member); },
                    Setting.Member);
}

} // namespace clementine
