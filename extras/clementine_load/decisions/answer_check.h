#ifndef CLEMENTINE_LOAD_DECISIONS_ANSWER_CHECK_H
#define CLEMENTINE_LOAD_DECISIONS_ANSWER_CHECK_H

#include "clementine_load/decisions/request_record.h"
#include "clementine_load/description/deployment.h"

#include <string_view>

namespace clementine::load {

/// An answer as it came over HTTP.
struct received_answer {
  long Status = 0;
  /// The value of Clementine-Outcome.
  std::string_view Outcome;
  std::string_view Body;
};

/// Judges an answer: it is whole if the body holds the request's nonce and the
/// answers of all sub-calls of the deployment's plan, each with the nonce.
/// Wrong is an answer with success that holds another nonce anywhere or lacks a
/// part.
send_outcome classifyAnswer(const deployment &Deployment,
                            const operation_name &Target,
                            std::string_view Nonce,
                            const received_answer &Answer);

} // namespace clementine::load

#endif
