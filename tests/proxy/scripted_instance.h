#ifndef CLEMENTINE_TESTS_PROXY_SCRIPTED_INSTANCE_H
#define CLEMENTINE_TESTS_PROXY_SCRIPTED_INSTANCE_H

#include "clementine_proxy/clementine_proxy.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <list>
#include <string>
#include <thread>
#include <vector>

namespace clementine::proxy {

inline const header_names ScriptedNames{"X-Id",       "X-Deadline", "X-Proof",
                                        "X-Expected", "X-Not-Run",  "X-Caller"};

/// A client and an instance whose every byte a test writes by itself. The
/// client's loop runs only while the test waits.
class scripted_instance {
public:
  using socket = boost::asio::ip::tcp::socket;

  explicit scripted_instance(instance_client_settings Settings = {})
      : Acceptor(InstanceLoop, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Client(Loop, addressed(std::move(Settings)), ScriptedNames,
               [this](const attempt_id &Attempt, instance_result Result) {
                 Ended.push_back(Attempt.Low);
                 Results.push_back(std::move(Result));
                 if (OnResult)
                   OnResult();
               }) {
    Acceptor.non_blocking(true);
  }

  /// Calls the instance with a request that has the id @p Id.
  void call(std::uint64_t Number, const std::string &Id,
            bool IsIdempotent = false,
            duration TimeLeft = std::chrono::seconds(20),
            const std::string &Method = "GET") {
    instance_call Call;
    Call.Attempt = {1, Number};
    Call.Instance = "i-1";
    Call.IsIdempotent = IsIdempotent;
    Call.Deadline = boot_clock().now() + TimeLeft;
    Call.Request = {Method, "/", {{"Host", "h"}, {"X-Id", Id}}, "", true};
    Client.call(std::move(Call));
  }

  /// @returns the connection on which the request with the id @p Id arrives;
  /// null if it does not arrive in time.
  socket *request(const std::string &Id) {
    socket *Found = nullptr;
    runUntil([&] {
      boost::system::error_code Error;
      socket Socket(InstanceLoop);
      Acceptor.accept(Socket, Error);
      if (!Error)
        Sockets.push_back(std::move(Socket));
      for (socket &Each : Sockets)
        if (Each.is_open() && holds(Each, "X-Id: " + Id + "\r\n"))
          Found = &Each;
      return Found != nullptr;
    });
    if (Found != nullptr) {
      std::string Request;
      boost::asio::read_until(*Found, boost::asio::dynamic_buffer(Request),
                              "\r\n\r\n");
    }
    return Found;
  }

  static void send(socket &Target, const std::string &Bytes) {
    boost::system::error_code Ignored; // The client may have closed it.
    boost::asio::write(Target, boost::asio::buffer(Bytes), Ignored);
  }

  /// Ends a connection; one that is reset loses its unread bytes.
  static void close(socket &Target, bool IsReset = false) {
    boost::system::error_code Ignored; // It is closed either way.
    if (IsReset)
      Target.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
    Target.close(Ignored);
  }

  bool awaitResults(std::size_t Count) {
    return runUntil([&] { return Results.size() >= Count; });
  }

  void runFor(duration Time) {
    Loop.restart();
    Loop.run_for(Time);
  }

  template <class Condition> bool runUntil(const Condition &IsMet) {
    const instant End = boot_clock().now() + std::chrono::seconds(5);
    while (!IsMet() && boot_clock().now() < End) {
      Loop.restart();
      Loop.run_one_for(std::chrono::microseconds(200));
    }
    return IsMet();
  }

  boost::asio::io_context InstanceLoop;
  boost::asio::io_context Loop;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::list<socket> Sockets;
  std::vector<std::uint64_t> Ended;
  std::vector<instance_result> Results;
  std::function<void()> OnResult;
  instance_client Client;

private:
  /// @returns whether the unread bytes are a request that contains @p Text.
  static bool holds(socket &Source, const std::string &Text) {
    boost::system::error_code Error;
    if (Source.available(Error) == 0 || Error)
      return false;
    std::string Bytes(4096, '\0');
    Bytes.resize(Source.receive(boost::asio::buffer(Bytes),
                                socket::message_peek, Error));
    return Bytes.find(Text) != std::string::npos && Bytes.ends_with("\r\n\r\n");
  }

  instance_client_settings addressed(instance_client_settings Settings) const {
    Settings.Address = {"127.0.0.1", Acceptor.local_endpoint().port()};
    return Settings;
  }
};

/// @returns an answer in full that carries the id @p Id.
inline std::string answerTo(const std::string &Id, const std::string &Status,
                            const std::string &Body) {
  return "HTTP/1.1 " + Status + "\r\nX-Id: " + Id +
         "\r\nX-Proof: p\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

/// @returns a refusal that certifies that its request has not run.
inline std::string refusalOf(const std::string &Id) {
  return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: full\r\nX-Id: " + Id +
         "\r\nContent-Length: 4\r\n\r\nfull";
}

} // namespace clementine::proxy

#endif
