#ifndef CLEMENTINE_PROXY_NODE_STORE_VIEW_H
#define CLEMENTINE_PROXY_NODE_STORE_VIEW_H

#include "clementine_proxy/node/deployment_adapter.h"
#include "clementine_proxy/node/store_duties.h"
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
class store_view {
public:
  /// The prefix of the keys under which nodes publish themselves.
  static constexpr std::string_view RecordPrefix = "clementinecove/nodes/";

  /// @param Adapter, @p Loop, @p Metrics and @p Listener have to outlive it.
  store_view(deployment_adapter &Adapter, boost::asio::io_context &Loop,
             const std::string &OwnNode, metrics_registry &Metrics,
             store_listener &Listener);

  store_view(const store_view &) = delete;
  store_view &operator=(const store_view &) = delete;

  /// @returns the duties, to be started; the view has to outlive them.
  std::shared_ptr<supervised> duties();

  /// Sets what the own record says from now on; nothing removes it.
  void publish(std::optional<node_record> Record) {
    Keeper.publish(std::move(Record));
  }

private:
  prefix_follower::listener configListener();
  prefix_follower::listener recordListener();
  void readConfig(const platform_entry &Entry);
  std::optional<node_record> decodeRecord(const platform_entry &Entry) const;
  void recordChanged(const platform_event &Event);

  deployment_adapter &Adapter;
  boost::asio::io_context &Loop;
  store_listener &Listener;
  gauge &Connected;
  const logger Log{"store"};
  prefix_follower Config;
  prefix_follower Records;
  record_keeper Keeper;
};

} // namespace clementine::proxy

#endif
