#ifndef CLEMENTINE_CORE_HTTP_RESPONSE_SYNTAX_H
#define CLEMENTINE_CORE_HTTP_RESPONSE_SYNTAX_H

#include <string_view>

/// The syntax of HTTP responses as far as the parsers in use do not enforce it.
namespace clementine {

/// @returns whether @p Status is that of an interim response that a client can
/// get without having asked for it; this excludes 101, a change of protocol.
bool isInterimStatus(unsigned Status);

/// @returns whether @p Status is that of a final response.
bool isFinalStatus(unsigned Status);

/// @param Line a line of a header section, without its line end.
/// @returns whether it is a field line as in RFC 9112, section 5: a token, a
/// colon directly behind it, and a value without control characters. A line
/// that continues the one before it (obs-fold) is none.
bool isFieldLine(std::string_view Line);

/// @param Head a start line and its header section with all line ends; bytes
/// behind the empty line are ignored.
/// @returns whether each line behind the start line is a field line.
bool hasOnlyFieldLines(std::string_view Head);

} // namespace clementine

#endif
