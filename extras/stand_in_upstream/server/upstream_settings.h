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

/// Parses the sub-calls of one operation, in the form
/// `operation=SERVICE/OPERATION[,..]`, and adds them to @p Plan.
/// @returns false for any other text, and leaves @p Plan unchanged.
bool addToCallPlan(const std::string &Text, call_plan &Plan);

/// The settings of a stand-in upstream.
struct upstream_settings {
  std::string Service;
  endpoint Listen;
  /// The base URL of its node; empty for none.
  std::string Node;
  /// The number of requests processed concurrently; further ones wait.
  unsigned Slots = 1;
  /// Connections above this are closed at once.
  unsigned Connections = 100;
  /// The mean service time of a request, without its sub-calls.
  duration ServiceTime = std::chrono::milliseconds(10);
  /// The standard deviation of the logarithm of the service time.
  double Spread = 0;
  std::uint64_t Seed = 1;
  call_plan Calls;
  /// The duration of the cold start, and the factor by which work is slower
  /// when it begins.
  duration ColdTime{0};
  double ColdFactor = 1;
  /// New requests are shed while more than this number wait; 0 sheds none.
  unsigned ShedAbove = 0;
  /// The age of the data that the health and load endpoints report.
  duration ReportLag = std::chrono::seconds(2);
  duration AnnounceInterval = std::chrono::seconds(1);
  /// A file to which a line is appended for each begin and end of a run; empty
  /// for none.
  std::string Journal;
};

} // namespace clementine::stand_in

#endif
