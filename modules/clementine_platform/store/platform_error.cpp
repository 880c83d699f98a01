#include "clementine_platform/store/platform_error.h"

#include <array>

namespace clementine {

namespace {

constexpr std::array<std::string_view, 10> CauseNames = {
    "unreachable",      "refused",          "lease-not-found",
    "compacted",        "interrupted",      "timed-out",
    "faulty",           "malformed-answer", "answer-too-large",
    "request-too-large"};

} // namespace

std::string_view platformCauseName(platform_cause Cause) {
  return CauseNames.at(static_cast<std::size_t>(Cause));
}

std::string platform_error::text() const {
  std::string Text(platformCauseName(Cause));
  Text += Effect == platform_effect::NotApplied ? ", not applied"
                                                : ", effect unknown";
  if (HttpStatus != 0)
    Text += ", HTTP " + std::to_string(HttpStatus);
  if (!Detail.empty())
    Text += ": " + Detail;
  return Text;
}

} // namespace clementine
