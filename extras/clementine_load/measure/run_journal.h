#ifndef CLEMENTINE_LOAD_MEASURE_RUN_JOURNAL_H
#define CLEMENTINE_LOAD_MEASURE_RUN_JOURNAL_H

#include "clementine_core/time/clock.h"

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace clementine::load {

/// One run of a request's part at an upstream.
struct upstream_run {
  std::string Service;
  std::string Operation;
  instant Begun;
  /// Own work, without sub-calls; 0 if the run was cut short by a kill.
  duration Busy{0};
  bool IsCompleted = false;
  /// Whether its end was noted; a killed upstream leaves runs without one.
  bool IsEnded = false;
};

/// The runs of each nonce, over all upstreams.
using run_index = std::map<std::string, std::vector<upstream_run>>;

/// Adds the lines of an upstream's journal to @p Runs.
/// @returns the number of lines that were not understood.
std::size_t readJournal(std::istream &Journal, const std::string &Service,
                        run_index &Runs);

} // namespace clementine::load

#endif
