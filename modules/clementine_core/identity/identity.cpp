#include "clementine_core/identity/identity.h"

#include "clementine_core/random/random_source.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace clementine {

namespace {

constexpr std::size_t HexDigitsPerWord = 16;

constexpr std::array<std::string_view, ImportanceLevels> ImportanceNames = {
    "critical", "high", "normal", "low"};

bool parseHexWord(std::string_view Text, std::uint64_t &Word) {
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Word, 16);
  return Parsed.ec == std::errc() && Parsed.ptr == End;
}

} // namespace

std::string endpoint::text() const { return Host + ":" + std::to_string(Port); }

std::string request_id::text() const {
  std::array<char, 2 * HexDigitsPerWord + 1> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%016llx%016llx",
                static_cast<unsigned long long>(High),
                static_cast<unsigned long long>(Low));
  return Buffer.data();
}

bool request_id::parse(std::string_view Text, request_id &Id) {
  if (Text.size() != 2 * HexDigitsPerWord)
    return false;
  request_id Parsed;
  if (!parseHexWord(Text.substr(0, HexDigitsPerWord), Parsed.High) ||
      !parseHexWord(Text.substr(HexDigitsPerWord), Parsed.Low))
    return false;
  Id = Parsed;
  return true;
}

std::uint64_t stableHash(std::string_view Text) {
  std::uint64_t Hash = 0xcbf29ce484222325ULL;
  for (const char Character : Text) {
    Hash ^= static_cast<unsigned char>(Character);
    Hash *= 0x100000001b3ULL;
  }
  return mixBits(Hash);
}

std::string_view importanceName(importance Level) {
  return ImportanceNames.at(static_cast<std::size_t>(Level));
}

bool parseImportance(std::string_view Name, importance &Level) {
  for (std::size_t Index = 0; Index < ImportanceNames.size(); ++Index) {
    if (ImportanceNames[Index] != Name)
      continue;
    Level = static_cast<importance>(Index);
    return true;
  }
  return false;
}

} // namespace clementine
