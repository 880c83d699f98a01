/// Measures the overhead of a node: the latency that two nodes add to a call,
/// and the memory and processor time of a node when idle and with many callers.
///
/// All figures of one run come from the same processes. Direct calls and calls
/// through the nodes alternate, so that both see the same load on the machine.

#include "deployment.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace clementine::test;
using namespace std::chrono_literals;
using microseconds = std::chrono::duration<double, std::micro>;

constexpr int Calls = 5000;
constexpr int WarmUpCalls = 500;
constexpr int OpenConnections = 500;
constexpr auto CallInterval = 2ms;
constexpr auto IdleTime = 20s;
constexpr const char *EntryHost = "127.0.1.1";
constexpr std::uint16_t HttpPort = 21000;
constexpr const char *BundleText = R"([bundle]
format = 1
name = node-costs
[service front]
[operation front read]
repeatable = yes
[service desk]
[operation desk read]
repeatable = yes
[caller mobile]
owner = ops
)";

std::size_t discard(char *, std::size_t Size, std::size_t Count, void *) {
  return Size * Count;
}

/// An HTTP client with one keep-alive connection.
class keep_alive_client {
public:
  explicit keep_alive_client(const std::string &Url) : Easy(curl_easy_init()) {
    Headers = curl_slist_append(Headers, "Clementine-Caller: mobile");
    curl_easy_setopt(Easy, CURLOPT_URL, Url.c_str());
    curl_easy_setopt(Easy, CURLOPT_PROXY, "");
    curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Headers);
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, "hello");
    curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &discard);
  }
  ~keep_alive_client() {
    curl_slist_free_all(Headers);
    curl_easy_cleanup(Easy);
  }
  keep_alive_client(const keep_alive_client &) = delete;
  keep_alive_client &operator=(const keep_alive_client &) = delete;

  /// @returns the duration of one call, negative if its status was not 200.
  microseconds call() {
    const auto Begin = std::chrono::steady_clock::now();
    long Status = 0;
    if (curl_easy_perform(Easy) == CURLE_OK)
      curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
    const microseconds Elapsed = std::chrono::steady_clock::now() - Begin;
    constexpr long HttpOk = 200;
    return Status == HttpOk ? Elapsed : microseconds(-1);
  }

private:
  CURL *Easy;
  curl_slist *Headers = nullptr;
};

double quantile(std::vector<double> &Sorted, double Fraction) {
  const auto Index = static_cast<std::size_t>(
      Fraction * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

void print(const char *Name, std::vector<double> &Times) {
  std::sort(Times.begin(), Times.end());
  std::printf("%-24s p50 %7.0f us  p99 %7.0f us  p99.9 %7.0f us\n", Name,
              quantile(Times, 0.5), quantile(Times, 0.99),
              quantile(Times, 0.999));
}

/// @returns the number in a field of /proc/PID/status (memory is in kilobytes),
/// or -1 if there is no such field.
long statusFieldOf(pid_t Process, const std::string &Field) {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.rfind(Field + ":", 0) == 0)
      return std::stol(Line.substr(Field.size() + 1));
  return -1;
}

/// @returns the processor time of a process in seconds.
double processorTimeOf(pid_t Process) {
  std::ifstream Stat("/proc/" + std::to_string(Process) + "/stat");
  std::string Text;
  std::getline(Stat, Text);
  std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
  // Fields 3 to 13 precede utime and stime, see proc(5).
  std::string Skipped;
  for (int Field = 0; Field < 11; ++Field)
    Fields >> Skipped;
  long User = 0;
  long System = 0;
  Fields >> User >> System;
  return static_cast<double>(User + System) /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

int openConnection() {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(HttpPort);
  inet_pton(AF_INET, EntryHost, &Address.sin_addr);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address),
              sizeof(Address)) != 0)
    std::perror("connect");
  return Socket;
}

void measureLatency() {
  keep_alive_client Direct("http://127.0.2.1:21010/read");
  keep_alive_client ThroughNodes("http://127.0.1.1:21000/call/desk/read");
  std::vector<double> DirectTimes;
  std::vector<double> ThroughTimes;
  std::vector<double> AddedTimes;
  int Failed = 0;
  for (int Call = -WarmUpCalls; Call < Calls; ++Call) {
    std::this_thread::sleep_for(CallInterval);
    const microseconds DirectTime = Direct.call();
    const microseconds ThroughTime = ThroughNodes.call();
    if (Call < 0)
      continue;
    if (DirectTime.count() < 0 || ThroughTime.count() < 0) {
      ++Failed;
      continue;
    }
    DirectTimes.push_back(DirectTime.count());
    ThroughTimes.push_back(ThroughTime.count());
    AddedTimes.push_back((ThroughTime - DirectTime).count());
  }
  print("direct", DirectTimes);
  print("through two nodes", ThroughTimes);
  print("added, call by call", AddedTimes);
  std::printf("added at p99: %.0f us (bound 1300 us); failed calls: %d\n",
              quantile(ThroughTimes, 0.99) - quantile(DirectTimes, 0.99),
              Failed);
}

void measureNode(pid_t Entry) {
  const double Before = processorTimeOf(Entry);
  std::this_thread::sleep_for(IdleTime);
  const double Spent = processorTimeOf(Entry) - Before;
  std::printf("idle: %.2f%% of a core (bound 4.2%%), resident %ld KB (bound "
              "32768 KB)\n",
              100 * Spent / std::chrono::duration<double>(IdleTime).count(),
              statusFieldOf(Entry, "VmRSS"));
  std::vector<int> Sockets;
  Sockets.reserve(OpenConnections);
  for (int Count = 0; Count < OpenConnections; ++Count)
    Sockets.push_back(openConnection());
  std::this_thread::sleep_for(1s);
  std::printf("with %d caller connections: resident %ld KB, %ld threads\n",
              OpenConnections, statusFieldOf(Entry, "VmRSS"),
              statusFieldOf(Entry, "Threads"));
  for (const int Socket : Sockets)
    close(Socket);
}

} // namespace

int main() {
  curl_global_init(CURL_GLOBAL_ALL);
  deployment Deployment({{"front-1", "fukuoka", EntryHost, "front", "", 1},
                         {"desk-1", "kumamoto", "127.0.2.1", "desk", "", 1}});
  Deployment.acceptBundle(BundleText);
  if (!Deployment.waitUntilReady("mobile", "desk/read")) {
    std::puts("the deployment did not become ready");
    return 1;
  }
  measureLatency();
  measureNode(Deployment.node("front-1").id());
  return 0;
}
