#ifndef CLEMENTINE_PROXY_NODE_STORE_TASKS_H
#define CLEMENTINE_PROXY_NODE_STORE_TASKS_H

#include "clementine_platform/clementine_platform.h"
#include "clementine_proxy/model/instance_record.h"
#include "clementine_proxy/node/batch_backoff.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace clementine::proxy {

/// How the duties deal with the store.
struct store_task_settings {
  /// The first pause after a failed call; it doubles with each failure.
  duration FirstPause = std::chrono::milliseconds(200);
  duration LongestPause = std::chrono::milliseconds(1000);
  /// The pauses after changes before the store is asked for the next ones, so
  /// that several come in one answer.
  batch_backoff_settings Pace;
  /// The lease that keeps a node's record alive.
  std::chrono::seconds LeaseTime{6};
  /// How often the lease is renewed.
  duration RenewInterval = std::chrono::milliseconds(2000);

  bool operator==(const store_task_settings &) const = default;
};

/// Sleeps that end at once when a duty is to stop.
class interruptible_sleep {
public:
  /// @returns once @p Span is over, wake() was called, or @p Stopping is true.
  void sleep(duration Span, const std::atomic<bool> &Stopping);
  void wake();

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  bool IsWoken = false;
};

/// Follows every key under a prefix: all entries first, then each change. After
/// a failure, or when the store has forgotten its history, it reads everything
/// again.
class prefix_watcher {
public:
  /// Hears on the duty's thread.
  struct listener {
    std::function<void(const std::vector<platform_entry> &)> Listed;
    std::function<void(const platform_event &)> Changed;
    /// @param IsConnected whether the store can be followed.
    std::function<void(bool IsConnected)> Connection;
  };

  prefix_watcher(std::string Name, platform_store &Store, std::string Prefix,
                 store_task_settings Settings, listener Listener);

  prefix_watcher(const prefix_watcher &) = delete;
  prefix_watcher &operator=(const prefix_watcher &) = delete;

  /// The body of the duty.
  void run(const std::atomic<bool> &Stopping);
  /// Ends a pause and a watch under way; everything is then read again. An
  /// answer that the store owed to the watch may have been lost in an outage.
  void wake();
  const std::string &name() const { return Name; }

private:
  bool followOnce(const std::atomic<bool> &Stopping);
  void setConnected(bool IsNow, const platform_error *Error);

  const std::string Name;
  platform_store &Store;
  const std::string Prefix;
  const store_task_settings Settings;
  const listener Listener;
  interruptible_sleep Pause;
  std::atomic<bool> EndsWatch{false};
  batch_backoff Pace;
  std::optional<bool> IsConnected;
  unsigned Failures = 0;
};

/// Keeps this node's record in the store under a lease. The record is written
/// under the condition that nobody else has written since, so that a write
/// which the store carries out late cannot undo a newer one.
class record_publisher {
public:
  /// @param Regained called on the duty's thread when a call succeeds after one
  /// that failed.
  record_publisher(platform_store &Store, std::string Key,
                   store_task_settings Settings,
                   std::function<void()> Regained);

  record_publisher(const record_publisher &) = delete;
  record_publisher &operator=(const record_publisher &) = delete;

  /// Sets what the record says from now on; nothing removes it.
  void publish(std::optional<node_record> Record);

  /// The body of the duty.
  void run(const std::atomic<bool> &Stopping);
  void wake() { Pause.wake(); }

private:
  bool keepUp();
  bool answers();
  bool renew();
  bool write(const std::optional<node_record> &Wanted);
  std::optional<node_record> wanted();
  void failed(std::string_view Step, const platform_error &Error);

  platform_store &Store;
  const std::string Key;
  const store_task_settings Settings;
  const std::function<void()> Regained;
  interruptible_sleep Pause;
  std::mutex Mutex;
  std::optional<node_record> Wanted;
  std::optional<node_record> Written;
  /// The revision of the key; nothing while it has to be read.
  std::optional<platform_revision> Revision;
  lease_id Lease = 0;
  instant RenewedAt;
  unsigned Failures = 0;
};

} // namespace clementine::proxy

#endif
