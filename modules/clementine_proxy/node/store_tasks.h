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

/// Timing of the tasks that access the store.
struct store_task_settings {
  /// The delay after a failed call; it doubles with each further failure.
  duration InitialBackoff = std::chrono::milliseconds(200);
  duration MaxBackoff = std::chrono::milliseconds(1000);
  /// The delays after changes before the next ones are requested, so that one
  /// response contains several.
  batch_backoff_settings BatchBackoff;
  /// Replaces BatchBackoff while another node passes the changes on.
  batch_backoff_settings RelayedBatchBackoff;
  /// How long the first watch waits after the first listing, unless that was
  /// empty. Where nodes restart, many records change at once.
  duration FirstWatchDelay{0};
  /// How long changes are read promptly after the store was restored from an
  /// older copy: the nodes write their lost records again.
  duration PromptAfterRestore = std::chrono::milliseconds(3000);
  /// The duration of the lease that the node's record is attached to.
  std::chrono::seconds LeaseDuration{6};
  duration RenewInterval = std::chrono::milliseconds(2000);
  /// How often a node without a record checks that the store can be reached, in
  /// renewal intervals.
  int IntervalsBetweenChecks = 5;

  bool operator==(const store_task_settings &) const = default;
};

/// A sleep that ends at once when its task has to stop.
class interruptible_sleep {
public:
  /// Waits for @p Span. Returns early on wake(), also on one before the call,
  /// and if @p Stopping is already true.
  void sleep(duration Span, const std::atomic<bool> &Stopping);
  void wake();

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  bool IsWoken = false;
};

/// Watches every key under a prefix: reads all entries first, then each change.
/// After a failure, or when the store has compacted its history or was restored
/// from an older copy, it reads all entries again.
class prefix_watcher {
public:
  /// Callbacks, called on the task's thread.
  struct listener {
    std::function<void(const platform_range &)> Listed;
    std::function<void(const platform_event &, store_era)> Changed;
    /// @param IsConnected whether the store can be watched.
    std::function<void(bool IsConnected)> Connection;
    /// Called before Listed if the store was restored from an older copy; may
    /// be empty.
    std::function<void()> Restored = {};
  };

  prefix_watcher(std::string Name, platform_store &Store, std::string Prefix,
                 store_task_settings Settings, listener Listener);

  prefix_watcher(const prefix_watcher &) = delete;
  prefix_watcher &operator=(const prefix_watcher &) = delete;

  /// Runs until stopped; the body of the task.
  void run(const std::atomic<bool> &Stopping);
  /// Ends the current delay and watch, after which all entries are read again:
  /// in an outage of the store, a response to the watch may have been lost.
  void wake();
  const std::string &name() const { return Name; }

  /// Sets whether changes are read promptly, or later because other nodes pass
  /// them on. Thread-safe.
  void readPromptly(bool IsPrompt) { ReadsPromptly = IsPrompt; }

private:
  void noteEra(store_era Found);
  duration delayAfterBatch();
  bool listAndWatch(const std::atomic<bool> &Stopping);
  void setConnected(bool IsNow, const platform_error *Error);

  const std::string Name;
  platform_store &Store;
  const std::string Prefix;
  const store_task_settings Settings;
  const listener Listener;
  interruptible_sleep Sleep;
  std::atomic<bool> CancelsWatch{false};
  std::atomic<bool> ReadsPromptly{true};
  batch_backoff BatchBackoff;
  batch_backoff RelayedBatchBackoff;
  std::optional<bool> IsConnected;
  unsigned Failures = 0;
  /// The history of the store that was listed last.
  store_era Era;
  /// Until when changes are read promptly after a restore.
  instant PromptUntil;
  bool HasListed = false;
};

/// Publishes this node's record in the store under a lease. Each write is
/// conditional on the key's revision, so that a write which the store carries
/// out late cannot overwrite a newer one. When the store was restored from an
/// older copy, the lease and the revision are void, and the record is written
/// again.
class record_publisher {
public:
  /// @param Recovered called on the task's thread when a call succeeds after
  /// one that failed, or after the store was restored.
  record_publisher(platform_store &Store, std::string Key,
                   store_task_settings Settings,
                   std::function<void()> Recovered);

  record_publisher(const record_publisher &) = delete;
  record_publisher &operator=(const record_publisher &) = delete;

  /// Sets the record to be stored; std::nullopt removes it.
  void publish(std::optional<node_record> Record);

  /// Runs until stopped; the body of the task.
  void run(const std::atomic<bool> &Stopping);
  void wake() { Sleep.wake(); }
  /// Renews the lease at once, so that the answer shows whether the store was
  /// restored. Thread-safe.
  void renewNow() {
    RenewsNow = true;
    Sleep.wake();
  }

private:
  bool synchronize();
  bool isStoreReachable();
  bool ensureLease();
  bool renewLease();
  bool grantLease();
  bool noteEra(store_era Found);
  bool write(const std::optional<node_record> &Desired);
  bool readRevision();
  std::optional<platform_commit>
  commit(const std::optional<node_record> &Desired);
  std::optional<node_record> desired();
  void logFailure(std::string_view Step, const platform_error &Error);

  platform_store &Store;
  const std::string Key;
  const store_task_settings Settings;
  const std::function<void()> Recovered;
  interruptible_sleep Sleep;
  std::mutex Mutex;
  std::optional<node_record> Desired;
  std::optional<node_record> Written;
  /// The revision of the key; empty while it has to be read. A new process
  /// assumes that there is none; the store says if that is wrong.
  std::optional<platform_revision> Revision = 0;
  /// The history of the store that Lease and Revision belong to.
  store_era Era;
  bool WasRestored = false;
  std::atomic<bool> RenewsNow{false};
  lease_id Lease = 0;
  instant RenewedAt;
  /// When the store last answered a call.
  instant ReachedAt;
  unsigned Failures = 0;
};

} // namespace clementine::proxy

#endif
