#ifndef CLEMENTINE_PROXY_MODEL_INPUT_TEXT_H
#define CLEMENTINE_PROXY_MODEL_INPUT_TEXT_H

#include <string_view>

namespace clementine::proxy {

/// @returns whether @p Text can name a node, zone, service or instance: it is
/// UTF-8, has no control characters and no more than MaxNameLength bytes. It
/// may be empty.
bool isName(std::string_view Text);

} // namespace clementine::proxy

#endif
