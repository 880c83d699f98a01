#include "clementine_core/http/response_line_check.h"

#include "clementine_core/http/response_syntax.h"

#include <utility>

namespace clementine {

response_line response_line_check::next(std::string_view &Line,
                                        unsigned Status) {
  Bytes += Line.size();
  if (Bytes > MaxBytes)
    return response_line::Invalid;
  if (Line.ends_with('\n'))
    Line.remove_suffix(1);
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  if (Line.empty()) {
    // An interim response such as 100 is followed by the final one.
    ExpectsStatus = isInterimStatus(Status);
    return response_line::End;
  }
  if (std::exchange(ExpectsStatus, false))
    return isInterimStatus(Status) || isFinalStatus(Status)
               ? response_line::Status
               : response_line::Invalid;
  return isFieldLine(Line) ? response_line::Field : response_line::Invalid;
}

} // namespace clementine
