#ifndef CLEMENTINE_LOAD_MEASURE_RUN_JOURNAL_H
#define CLEMENTINE_LOAD_MEASURE_RUN_JOURNAL_H

#include "clementine_core/time/clock.h"

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace clementine::load {

/// One run of an operation at an upstream.
struct upstream_run {
  std::string Service;
  std::string Operation;
  instant Begun;
  /// Processing time without sub-calls; 0 if the run was interrupted by a kill.
  duration Busy{0};
  bool IsCompleted = false;
  /// Whether the journal contains its end; it does not for runs that were in
  /// progress when the upstream was killed.
  bool IsEnded = false;
};

/// The runs at all upstreams by nonce.
using run_index = std::map<std::string, std::vector<upstream_run>>;

/// Adds the lines of an upstream's journal to @p Runs.
/// @returns the number of malformed lines.
std::size_t readJournal(std::istream &Journal, const std::string &Service,
                        run_index &Runs);

} // namespace clementine::load

#endif
