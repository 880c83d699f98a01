#ifndef CLEMENTINE_CORE_ERRORS_RESULT_H
#define CLEMENTINE_CORE_ERRORS_RESULT_H

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>

namespace clementine {

/// Holds either a value or a typed failure.
///
/// Each module defines its own failure type, which describes the failure in
/// fields rather than in a string. Reading the value of a failed result is a
/// programming error.
///
/// @see BOOST_OUTCOME_TRY for early return.
template <class Value, class Failure>
using result = boost::outcome_v2::unchecked<Value, Failure>;

/// Makes a successful result without a value.
using boost::outcome_v2::success;

/// Marks a value as a failure where the result's types are ambiguous.
using boost::outcome_v2::failure;

} // namespace clementine

#endif
