#include "clementine_core/http/response_syntax.h"

#include <algorithm>

namespace clementine {

namespace {

constexpr unsigned FirstInterimStatus = 100;
constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastStatus = 599;

constexpr std::string_view LineEnd = "\r\n";
constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char Delete = 0x7f;

/// Whether @p Letter may stand in a token (RFC 9110, section 5.6.2).
bool isTokenCharacter(char Letter) {
  constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  return (Letter >= '0' && Letter <= '9') || (Letter >= 'A' && Letter <= 'Z') ||
         (Letter >= 'a' && Letter <= 'z') ||
         Others.find(Letter) != std::string_view::npos;
}

/// Whether @p Letter may stand in a field value (RFC 9110, section 5.5).
bool isValueCharacter(char Letter) {
  const auto Byte = static_cast<unsigned char>(Letter);
  return Letter == '\t' || (Byte >= FirstPrintable && Byte != Delete);
}

} // namespace

bool isInterimStatus(unsigned Status) {
  return Status >= FirstInterimStatus && Status < FirstFinalStatus &&
         Status != SwitchingProtocols;
}

bool isFinalStatus(unsigned Status) {
  return Status >= FirstFinalStatus && Status <= LastStatus;
}

bool isFieldLine(std::string_view Line) {
  const std::size_t Colon = Line.find(':');
  if (Colon == 0 || Colon == std::string_view::npos)
    return false;
  return std::ranges::all_of(Line.substr(0, Colon), isTokenCharacter) &&
         std::ranges::all_of(Line.substr(Colon + 1), isValueCharacter);
}

bool hasOnlyFieldLines(std::string_view Head) {
  std::size_t Begin = Head.find(LineEnd);
  while (Begin != std::string_view::npos) {
    Begin += LineEnd.size();
    const std::size_t End = Head.find(LineEnd, Begin);
    if (End == Begin)
      return true;
    if (!isFieldLine(Head.substr(Begin, End - Begin)))
      return false;
    Begin = End;
  }
  return false;
}

} // namespace clementine
