#include "clementine_load/decisions/resend_policy.h"

#include <algorithm>

namespace clementine::load {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ImmediatePause(5);
constexpr milliseconds InitialBackOff(100);

/// The number of attempts to connect to a node before a client gives up.
constexpr std::size_t MaxUnsent = 5;

std::size_t countUnsent(const request_record &Request) {
  return static_cast<std::size_t>(std::count_if(
      Request.Sends.begin(), Request.Sends.end(), [](const send_record &Send) {
        return Send.Outcome == send_outcome::Unsent;
      }));
}

} // namespace

std::optional<instant>
resend_policy::nextSendTime(const request_record &Request, instant Now,
                            random_source &Random) const {
  const send_outcome Last = Request.Sends.back().Outcome;
  if (Last == send_outcome::Succeeded || Last == send_outcome::Wrong)
    return std::nullopt;
  const std::size_t Unsent = countUnsent(Request);
  const std::size_t Sent = Request.Sends.size() - Unsent;
  duration Pause = ImmediatePause;
  if (Last == send_outcome::Unsent) {
    if (Unsent >= MaxUnsent)
      return std::nullopt;
  } else {
    if (Scenario.Resend == resend_kind::Never || Sent >= Scenario.MaxSends)
      return std::nullopt;
    if (Scenario.Resend == resend_kind::BackOff) {
      const duration MaxPause =
          InitialBackOff * (std::int64_t{1} << (Sent - 1));
      Pause = MaxPause / 2 +
              duration(static_cast<duration::rep>(
                  Random.unit() * static_cast<double>((MaxPause / 2).count())));
    }
  }
  const instant Next = Now + Pause;
  if (Next >= Request.Arrived + Scenario.RequestTimeout)
    return std::nullopt;
  return Next;
}

bool resend_policy::mayHaveRun(const request_record &Request) {
  return std::any_of(Request.Sends.begin(), Request.Sends.end(),
                     [](const send_record &Send) {
                       return Send.Outcome != send_outcome::Unsent &&
                              Send.Outcome != send_outcome::NotRun;
                     });
}

} // namespace clementine::load
