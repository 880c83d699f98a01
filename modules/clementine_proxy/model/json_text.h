#ifndef CLEMENTINE_PROXY_MODEL_JSON_TEXT_H
#define CLEMENTINE_PROXY_MODEL_JSON_TEXT_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace clementine::proxy {

/// The deepest nesting of arrays and objects in a text that another process
/// wrote.
constexpr unsigned MaxJsonDepth = 32;

/// Parses @p Text, which may contain anything.
/// @returns a discarded value if it is no JSON text or nests too deeply.
nlohmann::json parseJson(std::string_view Text);

/// @returns the value of a JSON integer from 0 to @p Highest, or nothing: the
/// conversion of nlohmann::json truncates other numbers silently.
std::optional<std::uint64_t> unsignedOf(const nlohmann::json &Value,
                                        std::uint64_t Highest);

} // namespace clementine::proxy

#endif
