#ifndef CLEMENTINE_TESTS_TELEMETRY_FAKE_COLLECTOR_H
#define CLEMENTINE_TESTS_TELEMETRY_FAKE_COLLECTOR_H

#include <mutex>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <ulfius.h>

namespace clementine {

/// A collector on a free loopback port that stores the received bodies and
/// responds with a fixed status.
class fake_collector {
public:
  explicit fake_collector(int Status) : Status(Status) {
    for (int Port = FirstPort; Port < LastPort && !Running; ++Port)
      startOn(Port);
  }
  ~fake_collector() {
    if (Running)
      ulfius_stop_framework(&Instance);
    ulfius_clean_instance(&Instance);
  }
  fake_collector(const fake_collector &) = delete;
  fake_collector &operator=(const fake_collector &) = delete;

  bool isRunning() const { return Running; }
  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Instance.port) + "/v1/traces";
  }
  std::vector<std::string> bodies() const {
    const std::lock_guard Lock(Mutex);
    return Bodies;
  }

private:
  static constexpr int FirstPort = 24318;
  static constexpr int LastPort = 24418;

  void startOn(int Port) {
    ulfius_clean_instance(&Instance);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ulfius_init_instance(&Instance, static_cast<unsigned>(Port), &Address,
                         nullptr);
    ulfius_add_endpoint_by_val(&Instance, "POST", nullptr, "/v1/traces", 0,
                               &fake_collector::take, this);
    Running = ulfius_start_framework(&Instance) == U_OK;
  }

  static int take(const _u_request *Request, _u_response *Response,
                  void *User) {
    auto *Self = static_cast<fake_collector *>(User);
    const std::lock_guard Lock(Self->Mutex);
    Self->Bodies.emplace_back(static_cast<const char *>(Request->binary_body),
                              Request->binary_body_length);
    ulfius_set_string_body_response(Response,
                                    static_cast<unsigned>(Self->Status), "{}");
    return U_CALLBACK_CONTINUE;
  }

  const int Status;
  _u_instance Instance{};
  bool Running = false;
  mutable std::mutex Mutex;
  std::vector<std::string> Bodies;
};

} // namespace clementine

#endif
