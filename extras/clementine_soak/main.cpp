/// Runs randomized soak tests against real node processes, one run per seed.

#include "clementine_soak/soak.h"

#include <csignal>
#include <cstdio>
#include <exception>

#include <tclap/CmdLine.h>

namespace {

int runSoaks(int Count, char **Arguments) {
  TCLAP::CmdLine Line("Injects faults into a mesh of node processes on "
                      "loopback and checks the results that callers and "
                      "instances observe.",
                      ' ', CLEMENTINE_VERSION);
  TCLAP::ValueArg<std::uint64_t> Seed("", "seed", "First seed.", false, 1,
                                      "NUMBER", Line);
  TCLAP::ValueArg<unsigned> Seeds("", "seeds", "Number of seeds.", false, 1,
                                  "COUNT", Line);
  TCLAP::ValueArg<unsigned> Seconds("", "seconds",
                                    "Time for which faults are injected "
                                    "per seed.",
                                    false, 20, "SECONDS", Line);
  TCLAP::ValueArg<unsigned> Zones("", "zones",
                                  "Number of zones, with four nodes in each.",
                                  false, 3, "COUNT", Line);
  TCLAP::ValueArg<std::string> Network("", "network",
                                       "First three octets of every address.",
                                       false, "127.0.13.", "NUMBERS", Line);
  TCLAP::ValueArg<std::string> KeepLogs("", "keep-logs",
                                        "Folder for the logs of failed seeds.",
                                        false, "", "FOLDER", Line);
  Line.parse(Count, Arguments);
  unsigned Failed = 0;
  for (unsigned Number = 0; Number < Seeds.getValue(); ++Number) {
    clementine::soak::soak_settings Settings;
    Settings.Seed = Seed.getValue() + Number;
    Settings.Duration = std::chrono::seconds(Seconds.getValue());
    Settings.Zones = Zones.getValue();
    Settings.Network = Network.getValue();
    Settings.KeepLogs = KeepLogs.getValue();
    if (!clementine::soak::runSoak(Settings).empty())
      ++Failed;
  }
  std::printf("%u of %u seeds violated a guarantee\n", Failed,
              Seeds.getValue());
  return Failed == 0 ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return runSoaks(Count, Arguments);
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "clementine_soak: %s\n", Error.what());
    return 1;
  }
}
