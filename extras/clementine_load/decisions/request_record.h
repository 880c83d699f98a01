#ifndef CLEMENTINE_LOAD_DECISIONS_REQUEST_RECORD_H
#define CLEMENTINE_LOAD_DECISIONS_REQUEST_RECORD_H

#include "clementine_core/time/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace clementine::load {

/// How one send of a request ended.
enum class send_outcome : std::uint8_t {
  /// The whole answer to this request.
  Succeeded,
  NotRun,
  Unknown,
  /// A complete answer that reports a failure.
  Failed,
  /// A complete answer that is not this request's whole answer.
  Wrong,
  /// No whole answer came.
  Broken,
  /// No connection could be made, so nothing was sent.
  Unsent,
};

/// One send of a request.
struct send_record {
  instant Sent;
  instant Ended;
  send_outcome Outcome = send_outcome::Broken;
};

/// One request with all its sends.
struct request_record {
  std::string Nonce;
  std::size_t Stream = 0;
  instant Arrived;
  std::vector<send_record> Sends;

  /// @returns whether the last send brought the whole answer.
  bool hasSucceeded() const {
    return !Sends.empty() && Sends.back().Outcome == send_outcome::Succeeded;
  }
};

} // namespace clementine::load

#endif
