#ifndef CLEMENTINE_LOAD_OUTPUT_REPORT_H
#define CLEMENTINE_LOAD_OUTPUT_REPORT_H

#include "clementine_load/description/scenario.h"
#include "clementine_load/measure/measurement.h"

#include <string>

namespace clementine::load {

/// @returns a table for people.
std::string formatTable(const scenario &Scenario, const measurement &Result);

/// @returns the whole measurement as a JSON object.
std::string formatJson(const scenario &Scenario, const measurement &Result);

/// @returns the timeline, a row for each step and importance.
std::string formatCsv(const measurement &Result);

/// @returns a row for each send of each request.
/// @param Begin the instant from which times count.
std::string formatSends(const scenario &Scenario, instant Begin,
                        const std::vector<request_record> &Requests);

/// @returns a plot of goodput over time, a line for each importance, with
/// surges shaded and faults marked.
std::string formatSvg(const scenario &Scenario, const measurement &Result);

} // namespace clementine::load

#endif
