#ifndef CLEMENTINE_CORE_HTTP_RESPONSE_SYNTAX_H
#define CLEMENTINE_CORE_HTTP_RESPONSE_SYNTAX_H

/// The syntax of HTTP responses as far as the parsers in use do not enforce it.
namespace clementine {

/// @returns whether @p Status is that of an interim response that a client can
/// get without having asked for it; this excludes 101, a change of protocol.
bool isInterimStatus(unsigned Status);

/// @returns whether @p Status is that of a final response.
bool isFinalStatus(unsigned Status);

} // namespace clementine

#endif
