#ifndef CLEMENTINE_PROXY_NODE_STORE_SYNCHRONIZER_H
#define CLEMENTINE_PROXY_NODE_STORE_SYNCHRONIZER_H

#include "clementine_proxy/node/deployment_adapter.h"
#include "clementine_proxy/node/fault_guard.h"
#include "clementine_proxy/node/store_tasks.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace clementine::proxy {

/// Receives the configuration and the nodes' records from the store, on the
/// event loop's thread.
class store_listener {
public:
  virtual ~store_listener() = default;

  virtual void configRead(const std::shared_ptr<const routing_config> &Config,
                          platform_revision Revision) = 0;
  /// @param Records all records; those not among them no longer exist.
  /// @param Position the point as of which they are complete.
  virtual void recordsListed(const std::vector<node_record> &Records,
                             const store_position &Position) = 0;
  /// @param Position the point of the change.
  virtual void recordChanged(const node_record &Record,
                             const store_position &Position) = 0;
  virtual void recordRemoved(const std::string &Node,
                             const store_position &Position) = 0;
};

/// Reads the configuration and the records of all nodes from the store, and
/// publishes this node's own record in it. Each is a separate task.
class store_synchronizer {
public:
  /// The prefix of the keys under which nodes publish their records.
  static constexpr std::string_view RecordPrefix = "clementinecove/nodes/";

  /// @param Adapter, @p Loop, @p Metrics, @p Faults and @p Listener have to
  /// outlive this object.
  store_synchronizer(deployment_adapter &Adapter, boost::asio::io_context &Loop,
                     const std::string &OwnNode, metrics_registry &Metrics,
                     fault_guard &Faults, store_listener &Listener);

  store_synchronizer(const store_synchronizer &) = delete;
  store_synchronizer &operator=(const store_synchronizer &) = delete;

  /// @returns the tasks, not yet started; this object has to outlive them.
  std::shared_ptr<supervised> tasks();

  /// Sets this node's record; std::nullopt removes it.
  void publish(std::optional<node_record> Record) {
    Publisher.publish(std::move(Record));
  }

  /// Sets whether this node reads changes of records promptly, see
  /// prefix_watcher::readPromptly().
  void readRecordsPromptly(bool IsPrompt) { Records.readPromptly(IsPrompt); }

private:
  prefix_watcher::listener configListener();
  prefix_watcher::listener recordListener();
  void readConfig(const platform_entry &Entry);
  std::optional<node_record> decodeRecord(const platform_entry &Entry);
  std::optional<node_record> readRecord(const platform_entry &Entry) const;
  void recordChanged(const platform_event &Event, store_era Era);

  deployment_adapter &Adapter;
  boost::asio::io_context &Loop;
  fault_guard &Faults;
  store_listener &Listener;
  gauge &Connected;
  const logger Log{"store"};
  prefix_watcher Config;
  prefix_watcher Records;
  record_publisher Publisher;
};

} // namespace clementine::proxy

#endif
