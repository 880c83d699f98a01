/// Explores all orders of the events of a small mesh and prints how many states
/// there are, or the way to a broken promise.

#include "clementine_explorer/explorer.h"

#include <cstdio>
#include <exception>

#include <tclap/CmdLine.h>

namespace {

int run(int Count, char **Arguments) {
  TCLAP::CmdLine Line("Explores all orders of the events of an entry and two "
                      "gates.",
                      ' ', CLEMENTINE_VERSION);
  TCLAP::ValueArg<unsigned> Depth("", "depth", "Number of events.", false, 10,
                                  "COUNT", Line);
  TCLAP::ValueArg<unsigned> Requests("", "requests", "Number of requests.",
                                     false, 1, "COUNT", Line);
  TCLAP::ValueArg<unsigned> Faults("", "faults", "Number of faults.", false, 2,
                                   "COUNT", Line);
  TCLAP::SwitchArg IsIdempotent("", "idempotent",
                                "The requests are idempotent.", Line);
  Line.parse(Count, Arguments);
  clementine::explorer::exploration_settings Settings;
  Settings.Depth = Depth.getValue();
  Settings.IsIdempotent = IsIdempotent.getValue();
  Settings.Requests = Requests.getValue();
  Settings.Faults = Faults.getValue();
  const auto Result = clementine::explorer::explore(Settings);
  std::printf("%zu states, %zu transitions, depth %u\n", Result.States,
              Result.Transitions, Settings.Depth);
  if (Result.Violation.empty())
    return 0;
  std::printf("%s:\n%s", Result.Violation.c_str(),
              clementine::explorer::describe(Result.Way).c_str());
  return 1;
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    return run(Count, Arguments);
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "clementine_explorer: %s\n", Error.what());
    return 2;
  }
}
