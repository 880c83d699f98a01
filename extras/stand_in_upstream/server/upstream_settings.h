#ifndef STAND_IN_UPSTREAM_SERVER_UPSTREAM_SETTINGS_H
#define STAND_IN_UPSTREAM_SERVER_UPSTREAM_SETTINGS_H

#include "clementine_core/identity/identity.h"
#include "clementine_core/time/clock.h"

#include <map>
#include <string>
#include <vector>

namespace clementine::stand_in {

/// A call that an operation makes through its node.
struct sub_call {
  std::string Service;
  std::string Operation;

  bool operator==(const sub_call &) const = default;
};

/// The sub-calls of each operation, in order.
using call_plan = std::map<std::string, std::vector<sub_call>>;

/// Adds one operation's calls, written `operation=SERVICE/OPERATION[,..]`.
/// @returns false, leaving @p Plan as it was, for any other text.
bool addToCallPlan(const std::string &Text, call_plan &Plan);

/// How a stand-in upstream behaves.
struct upstream_settings {
  std::string Service;
  endpoint Listen;
  /// The base URL of the node beside it; empty for none.
  std::string Node;
  /// How many requests are worked on at once; further ones wait.
  unsigned Slots = 1;
  /// Connections above this are closed at once.
  unsigned Connections = 100;
  /// The mean time of work on one request, without its sub-calls.
  duration ServiceTime = std::chrono::milliseconds(10);
  /// The standard deviation of the logarithm of the service time.
  double Spread = 0;
  std::uint64_t Seed = 1;
  call_plan Calls;
  /// How long the start is cold, and how much slower work is at its begin.
  duration ColdTime{0};
  double ColdFactor = 1;
  /// Requests that come while more than this wait are shed; 0 sheds none.
  unsigned ShedAbove = 0;
  /// The age of what the health and load endpoints tell.
  duration ReportLag = std::chrono::seconds(2);
  duration AnnounceInterval = std::chrono::seconds(1);
  /// A file that gets a line for each begin and end of a run; empty for none.
  std::string Journal;
};

} // namespace clementine::stand_in

#endif
