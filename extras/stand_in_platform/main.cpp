/// An in-memory stand-in for the platform's key-value service, with faults that
/// can be switched on.
#include "stand_in_platform/server/platform_server.h"

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

namespace {

constexpr int ExitBadUsage = 2;
constexpr int ExitFailure = 1;

int waitForStop(const sigset_t &Signals) {
  int Signal = 0;
  return sigwait(&Signals, &Signal);
}

int run(const std::string &Listen, unsigned ProgressMilliseconds) {
  clementine::endpoint Endpoint;
  if (!clementine::stand_in::parseEndpoint(Listen, Endpoint)) {
    std::cerr << "platform: --listen requires HOST:PORT, got " << Listen
              << '\n';
    return ExitBadUsage;
  }
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  // Blocked before any thread starts, so that only this thread receives them.
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  try {
    const clementine::stand_in::platform_server Server(
        Endpoint, std::chrono::milliseconds(ProgressMilliseconds));
    std::cout << "platform: listening on " << Endpoint.text() << std::endl;
    return waitForStop(Signals);
  } catch (const clementine::stand_in::http_server_error &Error) {
    std::cerr << "platform: " << Error.what() << '\n';
    return ExitFailure;
  }
}

} // namespace

int main(int Count, char **Values) try {
  TCLAP::CmdLine Line("A stand-in for the platform's key-value service.", ' ',
                      CLEMENTINE_VERSION);
  TCLAP::ValueArg<std::string> Listen("", "listen", "address to listen on",
                                      true, "", "HOST:PORT");
  TCLAP::ValueArg<unsigned> Progress(
      "", "progress-ms", "interval of the progress messages of an idle watch",
      false, 2000, "milliseconds");
  Line.add(Listen);
  Line.add(Progress);
  Line.parse(Count, Values);
  return run(Listen.getValue(), Progress.getValue());
} catch (const std::exception &Error) {
  std::cerr << "platform: " << Error.what() << '\n';
  return ExitFailure;
}
