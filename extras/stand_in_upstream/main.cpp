/// A stand-in for one instance of a user's service.
#include "stand_in_upstream/server/upstream_server.h"

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <optional>
#include <thread>

namespace {

using namespace clementine;
using namespace clementine::stand_in;
using std::chrono::milliseconds;

constexpr int ExitBadUsage = 2;
constexpr int ExitFailure = 1;

/// The longest time that a drain waits for requests in flight.
constexpr std::chrono::seconds DrainTimeout(30);

/// The shortest time between a drain and the exit, during which the drain
/// propagates to the nodes.
constexpr milliseconds DrainPropagationTime(500);

void serveUntilSignal(const upstream_settings &Settings,
                      const sigset_t &Signals) {
  upstream_server Server(Settings);
  std::cout << "upstream: " << Settings.Service << " listening on "
            << Settings.Listen.text() << std::endl;
  int Signal = 0;
  sigwait(&Signals, &Signal);
  Server.drain();
  std::this_thread::sleep_for(DrainPropagationTime);
  if (!Server.awaitIdle(DrainTimeout))
    std::cerr << "upstream: drain timed out with requests still in flight\n";
}

/// Parses the command line into settings.
class command_line {
public:
  command_line() {
    for (TCLAP::Arg *Option : std::initializer_list<TCLAP::Arg *>{
             &Service, &Listen, &Node, &Slots, &Connections, &ServiceTime,
             &Spread, &Seed, &Calls, &ColdTime, &ColdFactor, &ShedAbove,
             &ReportLag, &Journal})
      Line.add(Option);
  }

  /// @returns the settings, or nothing after an error, which is written to
  /// stderr.
  std::optional<upstream_settings> parse(int Count, char **Values) {
    Line.parse(Count, Values);
    upstream_settings Settings;
    Settings.Service = Service.getValue();
    Settings.Node = Node.getValue();
    Settings.Slots = Slots.getValue();
    Settings.Connections = Connections.getValue();
    Settings.ServiceTime = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ServiceTime.getValue()));
    Settings.Spread = Spread.getValue();
    Settings.Seed = Seed.getValue();
    Settings.ColdTime = milliseconds(ColdTime.getValue());
    Settings.ColdFactor = ColdFactor.getValue();
    Settings.ShedAbove = ShedAbove.getValue();
    Settings.ReportLag = milliseconds(ReportLag.getValue());
    Settings.Journal = Journal.getValue();
    if (!parseEndpoint(Listen.getValue(), Settings.Listen))
      return refuse("--listen requires HOST:PORT, got " + Listen.getValue());
    for (const std::string &Text : Calls.getValue())
      if (!addToCallPlan(Text, Settings.Calls))
        return refuse(
            "--calls requires OPERATION=SERVICE/OPERATION[,..], got " + Text);
    return Settings;
  }

private:
  static std::nullopt_t refuse(const std::string &Reason) {
    std::cerr << "upstream: " << Reason << '\n';
    return std::nullopt;
  }

  TCLAP::CmdLine Line{"A stand-in for one instance of a service.", ' ',
                      CLEMENTINE_VERSION};
  TCLAP::ValueArg<std::string> Service{"",   "service", "name of the service",
                                       true, "",        "NAME"};
  TCLAP::ValueArg<std::string> Listen{"",   "listen", "address to listen on",
                                      true, "",       "HOST:PORT"};
  TCLAP::ValueArg<std::string> Node{"",    "node", "base URL of its node",
                                    false, "",     "URL"};
  TCLAP::ValueArg<unsigned> Slots{
      "", "slots", "requests processed concurrently", false, 10, "count"};
  TCLAP::ValueArg<unsigned> Connections{
      "", "connections", "connections accepted", false, 100, "count"};
  TCLAP::ValueArg<double> ServiceTime{
      "", "service-time", "mean service time", false, 10, "milliseconds"};
  TCLAP::ValueArg<double> Spread{
      "",    "spread", "standard deviation of the logarithm of service times",
      false, 0.3,      "number"};
  TCLAP::ValueArg<std::uint64_t> Seed{
      "", "seed", "seed of the service times", false, 1, "number"};
  TCLAP::MultiArg<std::string> Calls{"", "calls", "sub-calls of an operation",
                                     false, "OPERATION=SERVICE/OPERATION[,..]"};
  TCLAP::ValueArg<unsigned> ColdTime{
      "", "cold-ms", "duration of a cold start", false, 0, "milliseconds"};
  TCLAP::ValueArg<double> ColdFactor{
      "", "cold-factor", "slowdown at the start of a cold start", false,
      3,  "factor"};
  TCLAP::ValueArg<unsigned> ShedAbove{
      "",
      "shed-above",
      "waiting requests above which new ones are shed",
      false,
      0,
      "count, 0 for never"};
  TCLAP::ValueArg<unsigned> ReportLag{
      "",
      "report-lag-ms",
      "age of the data that /health and /load report",
      false,
      2000,
      "milliseconds"};
  TCLAP::ValueArg<std::string> Journal{
      "",    "journal", "file to which each begin and end of a run is appended",
      false, "",        "FILE"};
};

} // namespace

int main(int Count, char **Values) try {
  const auto Settings = command_line().parse(Count, Values);
  if (!Settings)
    return ExitBadUsage;
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  // Blocked before any thread starts, so that only this thread receives them.
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  serveUntilSignal(*Settings, Signals);
  return 0;
} catch (const std::exception &Error) {
  std::cerr << "upstream: " << Error.what() << '\n';
  return ExitFailure;
}
