#ifndef CLEMENTINE_PLATFORM_ETCD_BASE64_H
#define CLEMENTINE_PLATFORM_ETCD_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace clementine {

/// @returns @p Bytes encoded in base64 with padding (RFC 4648, section 4).
std::string encodeBase64(std::string_view Bytes);

/// @returns the decoded bytes, or nothing if @p Text is not complete, padded
/// base64.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace clementine

#endif
