#include "clementine_proxy/node/store_synchronizer.h"

#include "clementine_proxy/node/lasting_task.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace clementine::proxy {

namespace asio = boost::asio;

namespace {

/// How long a task waits after an exception.
constexpr std::chrono::milliseconds RestartDelay{1000};

/// The publisher of the record notices the end of an outage within a second and
/// wakes the watchers, so that these need not ask as often meanwhile.
store_task_settings watcherSettings() {
  store_task_settings Watcher;
  Watcher.MaxBackoff = std::chrono::milliseconds(4000);
  return Watcher;
}

/// Records change in bursts when many nodes start. Urgent changes arrive over
/// the links, so those from the store can be delayed and read in batches.
store_task_settings recordTaskSettings() {
  store_task_settings Records = watcherSettings();
  Records.BatchBackoff = {std::chrono::milliseconds(500),
                          std::chrono::milliseconds(6000)};
  Records.RelayedBatchBackoff = {std::chrono::milliseconds(4000),
                                 std::chrono::milliseconds(8000)};
  Records.FirstWatchDelay = std::chrono::milliseconds(2000);
  return Records;
}

} // namespace

store_synchronizer::store_synchronizer(deployment_adapter &Adapter,
                                       asio::io_context &Loop,
                                       const std::string &OwnNode,
                                       metrics_registry &Metrics,
                                       fault_guard &Faults,
                                       store_listener &Listener)
    : Adapter(Adapter), Loop(Loop), Faults(Faults), Listener(Listener),
      Connected(Metrics.gaugeFor("clementine_store_connected",
                                 "Whether the store can be followed.")),
      Config("config", Adapter.store(), Adapter.configKey(), watcherSettings(),
             configListener()),
      Records("nodes", Adapter.store(), std::string(RecordPrefix),
              recordTaskSettings(), recordListener()),
      Publisher(Adapter.store(), std::string(RecordPrefix) + OwnNode, {},
                [this] {
                  Config.wake();
                  Records.wake();
                }) {}

std::shared_ptr<supervised> store_synchronizer::tasks() {
  auto Store = std::make_shared<supervisor>("store");
  for (prefix_watcher *Each : {&Config, &Records})
    Store->add(makeLastingTask(
        Each->name(), [Each](const auto &Stopping) { Each->run(Stopping); },
        [Each] { Each->wake(); }, RestartDelay, Faults));
  Store->add(makeLastingTask(
      "record", [this](const auto &Stopping) { Publisher.run(Stopping); },
      [this] { Publisher.wake(); }, RestartDelay, Faults));
  return Store;
}

prefix_watcher::listener store_synchronizer::configListener() {
  return {[this](const platform_range &Range) {
            for (const platform_entry &Entry : Range.Entries)
              readConfig(Entry);
          },
          [this](const platform_event &Event, store_era) {
            if (Event.Kind == platform_event::kind::Put)
              readConfig(Event.Entry);
          },
          [this](bool IsConnected) { Connected.set(IsConnected ? 1 : 0); },
          [this] { Publisher.renewNow(); }};
}

/// Runs on the watcher's thread, so that decoding a large configuration does
/// not delay requests.
void store_synchronizer::readConfig(const platform_entry &Entry) {
  if (Entry.Key != Adapter.configKey())
    return;
  std::optional<result<routing_config, decode_error>> Attempted;
  if (!Faults.run("store entry", Entry.Key,
                  [&] { Attempted = Adapter.decodeConfig(Entry.Value); }))
    return;
  auto &Decoded = *Attempted;
  if (!Decoded) {
    Log.error(
        "configuration cannot be decoded",
        {{"revision", Entry.ModRevision}, {"error", Decoded.error().text()}});
    return;
  }
  auto Read =
      std::make_shared<const routing_config>(std::move(Decoded.value()));
  asio::post(Loop, [this, Read, Revision = Entry.ModRevision] {
    Listener.configRead(Read, Revision);
  });
}

prefix_watcher::listener store_synchronizer::recordListener() {
  return {[this](const platform_range &Range) {
            std::vector<node_record> Found;
            for (const platform_entry &Entry : Range.Entries)
              if (auto Record = decodeRecord(Entry))
                Found.push_back(std::move(*Record));
            store_position Position{Range.Era, 0};
            for (const platform_entry &Entry : Range.Entries)
              Position.Revision =
                  std::max(Position.Revision, Entry.ModRevision);
            asio::post(Loop, [this, Found, Position] {
              Listener.recordsListed(Found, Position);
            });
          },
          [this](const platform_event &Event, store_era Era) {
            recordChanged(Event, Era);
          },
          [](bool) {}, [this] { Publisher.renewNow(); }};
}

/// An entry that cannot be read, whatever the reason, leaves the others in
/// force.
std::optional<node_record>
store_synchronizer::decodeRecord(const platform_entry &Entry) {
  std::optional<node_record> Record;
  Faults.run("store entry", Entry.Key, [&] { Record = readRecord(Entry); });
  return Record;
}

std::optional<node_record>
store_synchronizer::readRecord(const platform_entry &Entry) const {
  auto Record = node_record::decode(Entry.Value);
  if (!Record ||
      RecordPrefix.size() + Record->Node.size() != Entry.Key.size() ||
      !Entry.Key.ends_with(Record->Node)) {
    Log.warning("node record cannot be decoded or does not match its key",
                {{"key", Entry.Key}});
    return std::nullopt;
  }
  return Record;
}

void store_synchronizer::recordChanged(const platform_event &Event,
                                       store_era Era) {
  const store_position Position{Era, Event.Entry.ModRevision};
  if (Event.Kind == platform_event::kind::Delete) {
    const std::string Node = Event.Entry.Key.substr(
        std::min(RecordPrefix.size(), Event.Entry.Key.size()));
    asio::post(Loop, [this, Node, Position] {
      Log.info("record vanished",
               {{"node", Node}, {"revision", Position.Revision}});
      Listener.recordRemoved(Node, Position);
    });
    return;
  }
  if (auto Record = decodeRecord(Event.Entry))
    asio::post(Loop, [this, Record = std::move(*Record), Position] {
      Log.info("record changed", {{"node", Record.Node},
                                  {"incarnation", Record.Incarnation},
                                  {"service", Record.Service},
                                  {"instance", Record.Instance},
                                  {"revision", Position.Revision}});
      Listener.recordChanged(Record, Position);
    });
}

} // namespace clementine::proxy
