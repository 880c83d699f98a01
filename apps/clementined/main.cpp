/// The daemon: runs one node until it receives a signal to stop.

#include "clementine_node/clementine_node.h"
#include "clementine_proxy/clementine_proxy.h"
#include "clementine_settings/clementine_settings.h"
#include "clementine_telemetry/clementine_telemetry.h"
#include "users_platform.h"

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
  bool IsProxy = false;
};

options readOptions(int Count, char **Arguments) {
  TCLAP::CmdLine Line("Runs one node of clementinecove on an upstream's VM.",
                      ' ', CLEMENTINE_VERSION);
  TCLAP::ValueArg<std::string> File("s", "settings",
                                    "The file with the node's settings.", true,
                                    "", "FILE.ini", Line);
  TCLAP::SwitchArg Check("", "check-settings", "Checks the settings and exits.",
                         Line);
  TCLAP::SwitchArg Proxy("", "proxy",
                         "Runs the proxy node of the users' platform; its "
                         "settings have other keys.",
                         Line);
  Line.parse(Count, Arguments);
  return {File.getValue(), Check.getValue(), Proxy.getValue()};
}

log_level levelOf(log_threshold Threshold) {
  return static_cast<log_level>(Threshold);
}

/// Blocks the signals that the daemon waits for, in this thread and in all
/// threads that it creates later.
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

int reportFaults(const settings_errors &Faults) {
  for (const settings_error &Error : Faults.Errors)
    std::cerr << Error.text() << '\n';
  return SettingsInvalidExitCode;
}

/// Reads the settings again and logs whether they are valid and have changed.
/// Changes take effect only at the next start, because the node's addresses and
/// its upstream are fixed while it runs.
void reloadProxySettings(const std::string &File,
                         const proxy::proxy_settings &Present,
                         const logger &Log) {
  const auto Settings = proxy::loadProxySettings(File);
  if (!Settings)
    Log.error("invalid settings; the current ones remain in force",
              {{"error", Settings.error().Errors.front().text()}});
  else if (Settings.value() == Present)
    Log.info("settings reloaded without a change");
  else
    Log.warning("settings have changed; they take effect at the next start");
}

int runProxy(const options &Options, const sigset_t &Signals) {
  const auto Settings = proxy::loadProxySettings(Options.SettingsFile);
  if (!Settings)
    return reportFaults(Settings.error());
  if (Options.OnlyChecks)
    return CleanExitCode;
  const log_output Output(standardOutputStream(),
                          levelOf(Settings.value().LogLevel));
  const auto Platform = makeUsersPlatform(Settings.value().StoreAddress);
  proxy::proxy_node Node(Settings.value(), *Platform);
  Node.start();
  const logger Log("daemon");
  int Signal = 0;
  while (sigwait(&Signals, &Signal) == 0 && Signal == SIGHUP)
    reloadProxySettings(Options.SettingsFile, Settings.value(), Log);
  return Node.stop() ? CleanExitCode : UnfinishedExitCode;
}

int runDaemon(int Count, char **Arguments) {
  // Before anything that takes time: a SIGHUP would end the process.
  const sigset_t Signals = blockStopSignals();
  const options Options = readOptions(Count, Arguments);
  if (Options.IsProxy)
    return runProxy(Options, Signals);
  if (Options.OnlyChecks)
    return checkSettings(Options.SettingsFile, std::cerr);
  const auto Settings = loadSettings(Options.SettingsFile);
  if (Settings.has_error())
    return reportFaults(Settings.error());
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
