#ifndef STAND_IN_PLATFORM_SERVER_PLATFORM_SERVER_H
#define STAND_IN_PLATFORM_SERVER_PLATFORM_SERVER_H

#include "clementine_platform/memory/memory_platform_store.h"
#include "stand_in_http/http_server.h"
#include "stand_in_platform/server/call_counts.h"
#include "stand_in_platform/server/fault_switches.h"

#include <atomic>
#include <map>
#include <memory>

namespace clementine::stand_in {

/// Serves the part of etcd v3's JSON mapping that is in use, from memory.
/// `POST /stand-in/faults` switches faults, and `GET /stand-in/counts` returns
/// the call counts.
class platform_server {
public:
  /// Starts to listen.
  /// @param ProgressInterval the interval of the progress messages of an idle
  /// watch.
  /// @throws http_server_error if the address can't be used.
  platform_server(const endpoint &Listen, duration ProgressInterval);
  ~platform_server();

  platform_server(const platform_server &) = delete;
  platform_server &operator=(const platform_server &) = delete;

private:
  class watch_stream;
  using call_function = http_answer (platform_server::*)(const std::string &);

  /// The path of a call, and how the call is counted and served.
  struct route {
    const char *Path;
    platform_call Kind;
    bool IsWrite;
    call_function Serve;
  };

  static const std::vector<route> &routes();

  http_answer handle(const http_request &Request);
  http_answer handleCall(const route &Route, const std::string &Body);
  http_answer changeFaults(const std::string &Body);
  void takeSnapshot();

  http_answer range(const std::string &Body);
  http_answer transaction(const std::string &Body);
  http_answer grantLease(const std::string &Body);
  http_answer renewLease(const std::string &Body);
  http_answer revokeLease(const std::string &Body);
  http_answer watch(const std::string &Body);

  bool waitWhileSilent() const;
  void delay(std::uint32_t Milliseconds) const;

  const duration ProgressInterval;
  const monotonic_clock Time;
  std::atomic<bool> Stopping{false};
  memory_platform_store Store;
  fault_switches Faults;
  call_counts Counts;
  std::mutex SnapshotMutex;
  std::map<std::string, platform_entry> Snapshot;
  platform_revision SnapshotRevision = 0;
  std::unique_ptr<http_server> Server;
};

} // namespace clementine::stand_in

#endif
