#include "clementine_load/measure/run_journal.h"

#include <sstream>

namespace clementine::load {

namespace {

using std::chrono::microseconds;

/// Records the end of the earliest run of the operation that has not ended.
/// @returns false if there is no such run.
bool endRun(std::vector<upstream_run> &Runs, const std::string &Service,
            const std::string &Operation, bool IsCompleted, duration Busy) {
  for (upstream_run &Run : Runs) {
    if (Run.Service != Service || Run.Operation != Operation || Run.IsEnded)
      continue;
    Run.IsEnded = true;
    Run.IsCompleted = IsCompleted;
    Run.Busy = Busy;
    return true;
  }
  return false;
}

bool readLine(const std::string &Line, const std::string &Service,
              run_index &Runs) {
  std::istringstream Fields(Line);
  std::string Kind;
  std::string Operation;
  std::string Key;
  std::string Nonce;
  std::int64_t Number = 0;
  if (!(Fields >> Kind >> Operation >> Key >> Nonce >> Number))
    return false;
  if (Kind == "begin") {
    Runs[Nonce].push_back({Service, Operation, instant(microseconds(Number)),
                           duration(0), false, false});
    return true;
  }
  if (Kind != "completed" && Kind != "aborted")
    return false;
  return endRun(Runs[Nonce], Service, Operation, Kind == "completed",
                microseconds(Number));
}

} // namespace

std::size_t readJournal(std::istream &Journal, const std::string &Service,
                        run_index &Runs) {
  std::size_t Malformed = 0;
  for (std::string Line; std::getline(Journal, Line);)
    if (!readLine(Line, Service, Runs))
      ++Malformed;
  return Malformed;
}

} // namespace clementine::load
