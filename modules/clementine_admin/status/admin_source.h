#ifndef CLEMENTINE_ADMIN_STATUS_ADMIN_SOURCE_H
#define CLEMENTINE_ADMIN_STATUS_ADMIN_SOURCE_H

#include "clementine_admin/status/node_status.h"

#include <memory>
#include <mutex>

namespace clementine {

/// Provides the status that the admin server shows. Called from many threads;
/// must not block.
class admin_source {
public:
  virtual ~admin_source() = default;

  /// @returns the latest status; null if there is none yet.
  virtual std::shared_ptr<const node_status> status() const = 0;
};

/// Holds the latest status that another thread published.
///
/// A reader keeps the snapshot that it received, so that a new one never
/// changes a response that is being written.
class status_snapshot final : public admin_source {
public:
  status_snapshot() = default;
  status_snapshot(const status_snapshot &) = delete;
  status_snapshot &operator=(const status_snapshot &) = delete;

  /// Replaces the previous status with @p Status.
  void publish(node_status Status) {
    auto Newest = std::make_shared<const node_status>(std::move(Status));
    const std::lock_guard Lock(Mutex);
    Current.swap(Newest);
  }

  std::shared_ptr<const node_status> status() const override {
    const std::lock_guard Lock(Mutex);
    return Current;
  }

private:
  mutable std::mutex Mutex;
  std::shared_ptr<const node_status> Current;
};

} // namespace clementine

#endif
