#include "scripted_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace {

constexpr int Backlog = 8;

/// Waits for input or the end of the test.
/// @returns false at the end of the test.
bool waitForInput(int Descriptor, int Stop) {
  std::array<pollfd, 2> Waits{pollfd{Descriptor, POLLIN, 0},
                              pollfd{Stop, POLLIN, 0}};
  return ::poll(Waits.data(), Waits.size(), -1) > 0 && Waits[1].revents == 0;
}

std::size_t bodyLength(const std::string &Head) {
  const std::string Field = "Content-Length: ";
  const std::size_t Found = Head.find(Field);
  return Found == std::string::npos
             ? 0
             : std::stoul(Head.substr(Found + Field.size()));
}

} // namespace

scripted_server::scripted_server(std::vector<step> Script)
    : Script(std::move(Script)) {
  Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(Address);
  auto *Plain = reinterpret_cast<sockaddr *>(&Address);
  if (Listener < 0 || ::bind(Listener, Plain, Length) != 0 ||
      ::listen(Listener, Backlog) != 0 || ::pipe(StopPipe) != 0 ||
      ::getsockname(Listener, Plain, &Length) != 0)
    throw std::runtime_error("the scripted server could not listen");
  Port = ntohs(Address.sin_port);
  Thread = std::thread([this] { run(); });
}

scripted_server::~scripted_server() {
  ::close(StopPipe[1]);
  Thread.join();
  ::close(StopPipe[0]);
  ::close(Listener);
}

std::string scripted_server::url() const {
  return "http://127.0.0.1:" + std::to_string(Port);
}

std::size_t scripted_server::requests() const {
  const std::lock_guard Lock(Mutex);
  return Requests;
}

std::size_t scripted_server::connections() const {
  const std::lock_guard Lock(Mutex);
  return Connections;
}

std::string scripted_server::httpAnswer(int Status, const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " X\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

void scripted_server::run() {
  while (waitForInput(Listener, StopPipe[0])) {
    const int Connection = ::accept(Listener, nullptr, nullptr);
    {
      const std::lock_guard Lock(Mutex);
      ++Connections;
    }
    serve(Connection);
    ::close(Connection);
  }
}

void scripted_server::serve(int Connection) {
  std::string Bytes;
  while (readRequest(Connection, Bytes)) {
    std::size_t Number = 0;
    {
      const std::lock_guard Lock(Mutex);
      Number = Requests++;
    }
    if (Number >= Script.size())
      return;
    const step &Step = Script[Number];
    ::send(Connection, Step.Bytes.data(), Step.Bytes.size(), MSG_NOSIGNAL);
    if (Step.After == after::Close)
      return;
  }
}

bool scripted_server::readRequest(int Connection, std::string &Bytes) const {
  constexpr std::size_t BlockSize = 65536;
  std::string Block(BlockSize, '\0');
  for (;;) {
    const std::size_t HeadEnd = Bytes.find("\r\n\r\n");
    if (HeadEnd != std::string::npos) {
      const std::size_t Whole = HeadEnd + 4 + bodyLength(Bytes);
      if (Bytes.size() >= Whole) {
        Bytes.erase(0, Whole);
        return true;
      }
    }
    if (!waitForInput(Connection, StopPipe[0]))
      return false;
    const ssize_t Got = ::recv(Connection, Block.data(), Block.size(), 0);
    if (Got <= 0)
      return false;
    Bytes.append(Block.data(), static_cast<std::size_t>(Got));
  }
}
