#ifndef CLEMENTINE_LOAD_DECISIONS_RESEND_POLICY_H
#define CLEMENTINE_LOAD_DECISIONS_RESEND_POLICY_H

#include "clementine_core/random/random_source.h"
#include "clementine_load/decisions/request_record.h"
#include "clementine_load/description/scenario.h"

#include <optional>

namespace clementine::load {

/// Determines whether and when a client sends its request again.
class resend_policy {
public:
  /// @param Scenario has to outlive the policy.
  explicit resend_policy(const scenario &Scenario) : Scenario(Scenario) {}

  /// @returns when to send again, or nothing if the request is finished or the
  /// client gives up.
  std::optional<instant> nextSendTime(const request_record &Request,
                                      instant Now, random_source &Random) const;

  /// @returns whether an earlier send may have run or may still run, so that
  /// the next one must carry `Clementine-Send: again`. A send that was answered
  /// with "not run" or never left the client is excluded.
  static bool mayHaveRun(const request_record &Request);

private:
  const scenario &Scenario;
};

} // namespace clementine::load

#endif
