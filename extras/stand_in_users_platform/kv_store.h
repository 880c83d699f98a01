#ifndef STAND_IN_USERS_PLATFORM_KV_STORE_H
#define STAND_IN_USERS_PLATFORM_KV_STORE_H

#include "clementine_platform/memory/memory_platform_store.h"
#include "stand_in_http/http_server.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace clementine::stand_in {

/// An in-memory stand-in for the metadata store of the users' platform, with
/// fault injection. Implements the users' protocol page.
class kv_store {
public:
  /// How the store responds to calls.
  enum class outage : std::uint8_t {
    None,
    /// Responds with 503 and does nothing.
    Unavailable,
    /// Responds with 429 and does nothing.
    Busy,
    /// Does not respond and does nothing.
    Silent,
  };

  /// Starts to listen.
  /// @throws http_server_error if the address cannot be used.
  explicit kv_store(const endpoint &Listen);
  ~kv_store();

  kv_store(const kv_store &) = delete;
  kv_store &operator=(const kv_store &) = delete;

  void setOutage(outage Kind) { Outage = Kind; }
  /// Carries out the next @p Count POST requests, but cuts off their responses.
  void loseAnswers(int Count) { LostAnswers = Count; }
  /// Keeps watches waiting until their time is up, even if there are events.
  void hideEvents(bool AreHidden) { EventsHidden = AreHidden; }
  /// Discards the history up to the current revision: watches from an earlier
  /// one get 410.
  void compactHistory() { CompactedRevision = Store.revision(); }
  void expireLeases() { Store.expireAllLeases(); }
  /// Keeps a copy of all keys, leases and revisions for restoreCopy().
  void keepCopy();
  /// Goes back to the copy: later keys and leases are lost, revisions and
  /// leases are given out again, calls in progress are cut off, and `Store-Era`
  /// rises by one.
  /// @throws std::logic_error if no copy was kept.
  void restoreCopy();

  /// Writes a value without a condition or lease, as the operator does.
  void put(const std::string &Key, const std::string &Value);
  /// @returns the value of @p Key, empty if there is none.
  std::string valueOf(const std::string &Key);
  /// @returns how many calls the store has received.
  int calls() const { return Calls; }

private:
  http_answer handle(const http_request &Request);
  http_answer answerTo(const http_request &Request);
  http_answer serve(const http_request &Request);
  http_answer getKey(const http_request &Request);
  http_answer getRange(const http_request &Request);
  http_answer watch(const http_request &Request);
  http_answer transaction(const http_request &Request);
  http_answer grantLease(const http_request &Request);
  http_answer renewLease(const std::string &Id);

  const monotonic_clock Time;
  std::atomic<bool> Stopping{false};
  std::atomic<outage> Outage{outage::None};
  std::atomic<int> LostAnswers{0};
  std::atomic<bool> EventsHidden{false};
  std::atomic<platform_revision> CompactedRevision{0};
  std::atomic<int> Calls{0};
  /// The value of the header `Store-Era`.
  std::atomic<std::uint64_t> Era{1};
  std::atomic<bool> IsRestoring{false};
  std::mutex CopyMutex;
  std::optional<keyspace> Copy;
  memory_platform_store Store;
  std::unique_ptr<http_server> Server;
};

} // namespace clementine::stand_in

#endif
