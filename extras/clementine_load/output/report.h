#ifndef CLEMENTINE_LOAD_OUTPUT_REPORT_H
#define CLEMENTINE_LOAD_OUTPUT_REPORT_H

#include "clementine_load/description/scenario.h"
#include "clementine_load/measure/measurement.h"

#include <string>

namespace clementine::load {

/// @returns a plain-text table.
std::string formatTable(const scenario &Scenario, const measurement &Result);

/// @returns the measurement as a JSON object.
std::string formatJson(const scenario &Scenario, const measurement &Result);

/// @returns the timeline as CSV, with a row for each step and importance.
std::string formatCsv(const measurement &Result);

/// @returns a CSV table with a row for each send of each request.
/// @param Begin the start of the run, to which times are relative.
std::string formatSends(const scenario &Scenario, instant Begin,
                        const std::vector<request_record> &Requests);

/// @returns an SVG plot of arrivals and goodput over time for each importance,
/// with surges shaded and the starts of faults marked.
std::string formatSvg(const scenario &Scenario, const measurement &Result);

} // namespace clementine::load

#endif
