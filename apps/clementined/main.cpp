/// The daemon: runs one node until it is told to stop.

#include "clementine_node/clementine_node.h"
#include "clementine_settings/clementine_settings.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <exception>
#include <iostream>
#include <optional>
#include <string>

#include <csignal>

#include <curl/curl.h>
#include <tclap/CmdLine.h>

namespace clementine {

namespace {

constexpr int CleanExitCode = 0;
constexpr int FailedExitCode = 1;
constexpr int UnfinishedExitCode = 3;

struct options {
  std::string SettingsFile;
  bool OnlyChecks = false;
};

options readOptions(int Count, char **Arguments) {
  TCLAP::CmdLine Line("Runs one node of clementinecove beside an upstream.",
                      ' ', CLEMENTINE_VERSION);
  TCLAP::ValueArg<std::string> File("s", "settings",
                                    "The file with the node's settings.", true,
                                    "", "FILE.ini", Line);
  TCLAP::SwitchArg Check("", "check-settings", "Checks the settings and ends.",
                         Line);
  Line.parse(Count, Arguments);
  return {File.getValue(), Check.getValue()};
}

log_level levelOf(log_threshold Threshold) {
  return static_cast<log_level>(Threshold);
}

/// Blocks the signals that main() waits for, in this and all later threads.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

void waitForStop(const sigset_t &Signals) {
  const logger Log("daemon");
  int Signal = 0;
  while (sigwait(&Signals, &Signal) == 0 && Signal == SIGHUP)
    Log.info("SIGHUP changes nothing; restart the node for new settings");
}

int runNode(const node_settings &Settings, const sigset_t &Signals) {
  const log_output Output(standardErrorStream(), levelOf(Settings.LogLevel));
  node Node(Settings);
  Node.start();
  waitForStop(Signals);
  return Node.stop() ? CleanExitCode : UnfinishedExitCode;
}

int runDaemon(int Count, char **Arguments) {
  const options Options = readOptions(Count, Arguments);
  if (Options.OnlyChecks)
    return checkSettings(Options.SettingsFile, std::cerr);
  const auto Settings = loadSettings(Options.SettingsFile);
  if (Settings.has_error()) {
    for (const settings_error &Error : Settings.error().Errors)
      std::cerr << Error.text() << '\n';
    return SettingsFaultyExitCode;
  }
  const sigset_t Signals = blockStopSignals();
  curl_global_init(CURL_GLOBAL_ALL);
  const int Code = runNode(Settings.value(), Signals);
  curl_global_cleanup();
  return Code;
}

} // namespace

} // namespace clementine

int main(int Count, char **Arguments) {
  try {
    return clementine::runDaemon(Count, Arguments);
  } catch (const std::exception &Error) {
    std::cerr << "clementined: " << Error.what() << '\n';
    return clementine::FailedExitCode;
  }
}
