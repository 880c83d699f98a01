#ifndef CLEMENTINE_LOAD_DECISIONS_ANSWER_CHECK_H
#define CLEMENTINE_LOAD_DECISIONS_ANSWER_CHECK_H

#include "clementine_load/decisions/request_record.h"
#include "clementine_load/description/deployment.h"

#include <string_view>

namespace clementine::load {

/// An answer received over HTTP.
struct received_answer {
  long Status = 0;
  /// The value of the header Clementine-Outcome.
  std::string_view Outcome;
  std::string_view Body;
};

/// Classifies an answer. It has succeeded if its body contains the request's
/// nonce and the answers of all sub-calls that the deployment defines, each
/// with the same nonce. It is wrong if it reports success but contains another
/// nonce or lacks the answer of a sub-call.
send_outcome classifyAnswer(const deployment &Deployment,
                            const operation_name &Target,
                            std::string_view Nonce,
                            const received_answer &Answer);

} // namespace clementine::load

#endif
