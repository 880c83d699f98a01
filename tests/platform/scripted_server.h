#ifndef CLEMENTINE_TESTS_PLATFORM_SCRIPTED_SERVER_H
#define CLEMENTINE_TESTS_PLATFORM_SCRIPTED_SERVER_H

#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// A TCP server that answers each request with the next bytes of its script,
/// whatever the request, so that tests can send responses that no HTTP library
/// would produce.
class scripted_server {
public:
  /// What happens to the connection after the bytes have been sent.
  enum class after : std::uint8_t { KeepOpen, Close, StaySilent };

  struct step {
    std::string Bytes;
    after After = after::KeepOpen;
  };

  explicit scripted_server(std::vector<step> Script);
  ~scripted_server();

  scripted_server(const scripted_server &) = delete;
  scripted_server &operator=(const scripted_server &) = delete;

  std::string url() const;

  /// @returns the number of complete requests received.
  std::size_t requests() const;

  /// @returns the number of connections accepted.
  std::size_t connections() const;

  /// @returns an HTTP response with a Content-Length, for a step.
  static std::string httpAnswer(int Status, const std::string &Body);

private:
  void run();
  void serve(int Connection);
  bool readRequest(int Connection, std::string &Bytes) const;

  const std::vector<step> Script;
  int Listener = -1;
  std::uint16_t Port = 0;
  int StopPipe[2] = {-1, -1};
  mutable std::mutex Mutex;
  std::size_t Requests = 0;
  std::size_t Connections = 0;
  std::thread Thread;
};

#endif
