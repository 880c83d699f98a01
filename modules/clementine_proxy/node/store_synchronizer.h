#ifndef CLEMENTINE_PROXY_NODE_STORE_SYNCHRONIZER_H
#define CLEMENTINE_PROXY_NODE_STORE_SYNCHRONIZER_H

#include "clementine_proxy/node/deployment_adapter.h"
#include "clementine_proxy/node/store_tasks.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace clementine::proxy {

/// Hears what the store says, on the loop's thread.
class store_listener {
public:
  virtual ~store_listener() = default;

  virtual void configRead(const std::shared_ptr<const routing_config> &Config,
                          platform_revision Revision) = 0;
  /// These are all records; others are gone.
  virtual void recordsListed(const std::vector<node_record> &Records) = 0;
  virtual void recordChanged(const node_record &Record) = 0;
  virtual void recordVanished(const std::string &Node) = 0;
};

/// What a node takes from the store and keeps in it: the configuration, the
/// records of all nodes and its own. Each is a duty of its own.
class store_synchronizer {
public:
  /// The prefix of the keys under which nodes publish themselves.
  static constexpr std::string_view RecordPrefix = "clementinecove/nodes/";

  /// @param Adapter, @p Loop, @p Metrics and @p Listener have to outlive it.
  store_synchronizer(deployment_adapter &Adapter, boost::asio::io_context &Loop,
                     const std::string &OwnNode, metrics_registry &Metrics,
                     store_listener &Listener);

  store_synchronizer(const store_synchronizer &) = delete;
  store_synchronizer &operator=(const store_synchronizer &) = delete;

  /// @returns the duties, to be started; the view has to outlive them.
  std::shared_ptr<supervised> duties();

  /// Sets what the own record says from now on; nothing removes it.
  void publish(std::optional<node_record> Record) {
    Keeper.publish(std::move(Record));
  }

private:
  prefix_watcher::listener configListener();
  prefix_watcher::listener recordListener();
  void readConfig(const platform_entry &Entry);
  std::optional<node_record> decodeRecord(const platform_entry &Entry) const;
  void recordChanged(const platform_event &Event);

  deployment_adapter &Adapter;
  boost::asio::io_context &Loop;
  store_listener &Listener;
  gauge &Connected;
  const logger Log{"store"};
  prefix_watcher Config;
  prefix_watcher Records;
  record_publisher Keeper;
};

} // namespace clementine::proxy

#endif
