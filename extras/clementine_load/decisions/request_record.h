#ifndef CLEMENTINE_LOAD_DECISIONS_REQUEST_RECORD_H
#define CLEMENTINE_LOAD_DECISIONS_REQUEST_RECORD_H

#include "clementine_core/time/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace clementine::load {

/// How one send of a request ended.
enum class send_outcome : std::uint8_t {
  /// The complete and correct answer to this request, reported as "whole".
  Succeeded,
  NotRun,
  Unknown,
  /// A complete answer that reports a failure.
  Failed,
  /// An answer with success that is not the complete answer to this request.
  Wrong,
  /// No complete answer arrived, for example because of a timeout or a
  /// lost connection.
  Broken,
  /// Nothing was sent, because no connection could be made or the request had
  /// timed out before.
  Unsent,
};

/// One send of a request.
struct send_record {
  instant Sent;
  instant Ended;
  send_outcome Outcome = send_outcome::Broken;
};

/// One request with all its attempts to send it.
struct request_record {
  std::string Nonce;
  std::size_t Stream = 0;
  instant Arrived;
  std::vector<send_record> Sends;

  /// @returns whether the last send succeeded.
  bool hasSucceeded() const {
    return !Sends.empty() && Sends.back().Outcome == send_outcome::Succeeded;
  }
};

} // namespace clementine::load

#endif
