#include "clementine_platform/etcd/etcd_platform_store.h"
#include "clementinectl/command/command.h"
#include "clementinectl/input/node_client.h"

#include <chrono>
#include <iostream>
#include <thread>

namespace {

using namespace clementine;

/// Much longer than a transfer of one megabyte takes on a busy platform.
constexpr std::chrono::seconds CallTimeout{5};

constexpr std::chrono::milliseconds InitialBackoff{100};
constexpr unsigned MaxBackoffDoublings = 4;

std::unique_ptr<platform_store> openPlatform(const std::string &Url) {
  http_channel::limits Limits;
  Limits.CallTimeout = CallTimeout;
  return std::make_unique<etcd_platform_store>(Url, Limits);
}

std::int64_t secondsNow() {
  const auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(Since).count();
}

void waitBeforeAttempt(unsigned Attempt) {
  const unsigned Doublings = std::min(Attempt - 1, MaxBackoffDoublings);
  std::this_thread::sleep_for(InitialBackoff * (1U << Doublings));
}

} // namespace

int main(int Count, char **Words) {
  ctl::command_context Context{std::cout,      std::cerr,  openPlatform,
                               ctl::fetchNode, secondsNow, waitBeforeAttempt};
  const std::vector<std::string> Arguments(Words + 1, Words + Count);
  return static_cast<int>(ctl::runCommand(Arguments, Context));
}
