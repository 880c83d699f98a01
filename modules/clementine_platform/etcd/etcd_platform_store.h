#ifndef CLEMENTINE_PLATFORM_ETCD_ETCD_PLATFORM_STORE_H
#define CLEMENTINE_PLATFORM_ETCD_ETCD_PLATFORM_STORE_H

#include "clementine_platform/etcd/http_channel.h"
#include "clementine_platform/store/platform_store.h"

namespace clementine {

/// A platform_store that uses the JSON/HTTP mapping of etcd v3.
///
/// Uses `/v3/kv/range`, `/v3/kv/txn`, `/v3/lease/grant`,
/// `/v3/lease/keepalive`, `/v3/kv/lease/revoke` and `/v3/watch`. Every response
/// is limited in size and validated before it is used. A malformed, truncated
/// or oversized response to a change is an error with platform_effect::Unknown.
class etcd_platform_store final : public platform_store {
public:
  /// @param BaseUrl such as `http://127.0.0.1:2379`.
  /// @param Limits the timeouts and size limits of each call.
  etcd_platform_store(std::string BaseUrl, http_channel::limits Limits);

  result<std::optional<platform_entry>, platform_error>
  get(const std::string &Key) override;
  result<platform_range, platform_error>
  list(const std::string &Prefix) override;
  result<platform_commit, platform_error>
  commit(const platform_transaction &Transaction) override;
  result<platform_lease, platform_error>
  grantLease(std::chrono::seconds TimeToLive) override;
  result<platform_lease, platform_error> renewLease(lease_id Lease) override;
  result<void, platform_error> revokeLease(lease_id Lease) override;
  result<void, platform_error>
  watch(const std::string &Prefix, platform_revision FromRevision,
        const watch_listener &Listener,
        const std::atomic<bool> &Stopping) override;

private:
  /// Whether a call can change the stored data.
  enum class access : std::uint8_t { Read, Write };

  result<std::string, platform_error>
  call(const std::string &Path, const std::string &Body, access Access);

  http_channel Channel;
};

} // namespace clementine

#endif
