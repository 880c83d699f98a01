#include "clementine_wire/messages/messages.h"

#include <array>

namespace clementine {

std::string_view refusalName(refusal Reason) {
  static constexpr std::array<std::string_view, RefusalCount> Names = {
      "none",
      "overloaded",
      "displaced",
      "leaving",
      "deadline-passed",
      "ledger-full",
      "upstream-unreachable",
      "upstream-refused",
      "no-upstream",
      "fenced",
      "caller-limit",
      "no-bundle",
      "unknown-caller",
      "unknown-operation",
      "key-required",
      "claim-unavailable",
      "malformed",
      "node-busy",
      "node-unreachable",
      "connection-lost",
      "node-replaced",
      "no-record",
      "cancelled"};
  return Names.at(static_cast<std::size_t>(Reason));
}

} // namespace clementine
