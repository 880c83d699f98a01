#include "clementine_proxy/http/write_progress.h"

#include <utility>

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace clementine::proxy {

void write_progress::begin(instant Now) {
  AcceptedBytes = 0;
  TakenBytes = takenBytes();
  ChangedAt = Now;
}

duration write_progress::stalledFor(instant Now) {
  const std::int64_t Before = std::exchange(TakenBytes, takenBytes());
  if (TakenBytes != Before)
    ChangedAt = Now;
  return Now - ChangedAt;
}

/// Where the system does not tell what is on its way, the bytes that the socket
/// accepts have to do.
std::int64_t write_progress::takenBytes() {
  int Unacknowledged = 0;
  if (::ioctl(Socket.native_handle(), SIOCOUTQ, &Unacknowledged) != 0)
    Unacknowledged = 0;
  return AcceptedBytes - Unacknowledged;
}

} // namespace clementine::proxy
