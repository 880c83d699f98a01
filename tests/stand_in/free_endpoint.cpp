#include "free_endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

clementine::endpoint findFreeEndpoint() {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(Address);
  auto *SocketAddress = reinterpret_cast<sockaddr *>(&Address);
  const bool IsBound = ::bind(Socket, SocketAddress, Length) == 0 &&
                       ::getsockname(Socket, SocketAddress, &Length) == 0;
  ::close(Socket);
  if (!IsBound)
    throw std::runtime_error("no free loopback port");
  return {"127.0.0.1", ntohs(Address.sin_port)};
}
