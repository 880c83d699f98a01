#include "clementine_proxy/gate/instance_client.h"

#include "clementine_proxy/gate/instance_connection.h"
#include "clementine_proxy/model/boot_clock.h"

#include <algorithm>
#include <utility>

namespace clementine::proxy {

namespace asio = boost::asio;

namespace {

instant now() { return boot_clock().now(); }

} // namespace

instance_client::instance_client(asio::io_context &Loop,
                                 instance_client_settings Settings,
                                 const header_names &Names, listener Listener)
    : Loop(Loop), Settings(std::move(Settings)), Names(Names),
      Listener(std::move(Listener)) {}

instance_client::~instance_client() = default;

void instance_client::call(instance_call Call) {
  auto &Connection = Busy[Call.Attempt];
  Connection = takeIdle(Call.IsIdempotent);
  if (Connection)
    return Connection->reuse(std::move(Call));
  Connection = std::make_shared<instance_connection>(*this);
  Connection->connect(std::move(Call));
}

std::shared_ptr<instance_connection>
instance_client::takeIdle(bool IsIdempotent) {
  const instant Now = now();
  for (auto Next = Idle.end(); Next != Idle.begin();) {
    --Next;
    if (!IsIdempotent && (*Next)->hasCarriedRefusal())
      continue;
    if (!IsIdempotent && (*Next)->isUsableAt(Now) &&
        Now - (*Next)->idleSince() > Settings.MaxIdleIfNotIdempotent)
      break;
    auto Connection = *Next;
    Next = Idle.erase(Next);
    if (Connection->isUsableAt(Now) && Connection->isOpenAndIdle())
      return Connection;
    Connection->close();
  }
  if (!IsIdempotent)
    closeIdleWithRefusal();
  return nullptr;
}

void instance_client::closeIdleWithRefusal() {
  const auto Oldest =
      std::ranges::find_if(Idle, &instance_connection::hasCarriedRefusal);
  if (Oldest == Idle.end())
    return;
  (*Oldest)->close();
  Idle.erase(Oldest);
}

void instance_client::ended(
    const std::shared_ptr<instance_connection> &Connection,
    instance_result Result, bool KeepsConnection) {
  const attempt_id Attempt = Connection->call().Attempt;
  Busy.erase(Attempt);
  const instant Now = now();
  while (!Idle.empty() && !Idle.front()->isUsableAt(Now)) {
    Idle.front()->close();
    Idle.pop_front();
  }
  if (KeepsConnection)
    Idle.push_back(Connection);
  else
    Connection->close();
  Listener(Attempt, std::move(Result));
}

bool instance_client::isBusy(const instance_connection &Connection) const {
  const auto Found = Busy.find(Connection.call().Attempt);
  return Found != Busy.end() && Found->second.get() == &Connection;
}

void instance_client::abort(const attempt_id &Attempt) {
  const auto Found = Busy.find(Attempt);
  if (Found == Busy.end())
    return;
  Found->second->close();
  Busy.erase(Found);
}

void instance_client::bufferedBytesChanged(std::uint64_t Before,
                                           std::uint64_t After) {
  BufferedBytes = BufferedBytes + After - Before;
  MostBufferedBytes = std::max(MostBufferedBytes, BufferedBytes);
}

bool instance_client::abortsLargestResponse(
    const instance_connection &Reading) {
  if (BufferedBytes + instance_connection::ReadChunkBytes <=
      Settings.MaxBufferedBytes)
    return false;
  const auto Largest = std::max_element(
      Busy.begin(), Busy.end(), [](const auto &A, const auto &B) {
        return A.second->bufferedBytes() < B.second->bufferedBytes();
      });
  const auto Connection = Largest->second;
  Connection->endForMemory();
  return Connection.get() == &Reading;
}

void instance_client::dropIdle() {
  for (const auto &Connection : Idle)
    Connection->close();
  Idle.clear();
}

void instance_client::stop() {
  dropIdle();
  for (const auto &[Attempt, Connection] : Busy)
    Connection->close();
  Busy.clear();
}

} // namespace clementine::proxy
