#include "clementine_settings/ini/ini_document.h"

#include <algorithm>
#include <set>
#include <utility>

namespace clementine {

namespace {

constexpr std::string_view Whitespace = " \t";

std::string_view strip(std::string_view Text) {
  const std::size_t Begin = Text.find_first_not_of(Whitespace);
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(Whitespace) - Begin + 1);
}

bool isForbidden(char Character) {
  return Character != '\t' && (Character < ' ' || Character > '~');
}

bool isIdentifierCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= '0' && Character <= '9') || Character == '_';
}

bool isIdentifier(std::string_view Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), isIdentifierCharacter);
}

/// Parses an INI text line by line into a document.
class ini_parser {
public:
  void readLine(std::string_view Line) {
    ++LineNumber;
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    if (Line.size() > MaxIniLineBytes)
      return report(ini_fault::LineTooLong, {}, {});
    Line = strip(Line);
    if (Line.empty() || Line.front() == ';' || Line.front() == '#')
      return;
    if (std::any_of(Line.begin(), Line.end(), isForbidden))
      return report(ini_fault::ForbiddenCharacter, {}, {});
    if (Line.front() == '[')
      return readSection(Line);
    readEntry(Line);
  }

  ini_document finish() { return std::move(Document); }

private:
  void readSection(std::string_view Line) {
    const std::string_view Name =
        strip(Line.ends_with(']') ? Line.substr(1, Line.size() - 2)
                                  : std::string_view());
    if (!isIdentifier(Name))
      return report(ini_fault::MalformedLine, {}, Line);
    Section = Name;
    InSection = true;
    if (!SectionsSeen.insert(Section).second)
      return report(ini_fault::DuplicateSection, {}, {});
    Document.Sections.push_back({LineNumber, Section});
  }

  void readEntry(std::string_view Line) {
    const std::size_t Equals = Line.find('=');
    if (Equals == std::string_view::npos)
      return report(ini_fault::MalformedLine, {}, Line);
    const std::string_view Key = strip(Line.substr(0, Equals));
    const std::string_view Value = strip(Line.substr(Equals + 1));
    if (!isIdentifier(Key))
      return report(ini_fault::MalformedLine, {}, Line);
    if (!InSection)
      return report(ini_fault::KeyOutsideSection, Key, Value);
    if (!KeysSeen.emplace(Section, Key).second)
      return report(ini_fault::DuplicateKey, Key, Value);
    Document.Entries.push_back(
        {LineNumber, Section, std::string(Key), std::string(Value)});
  }

  void report(ini_fault Fault, std::string_view Key, std::string_view Value) {
    Document.Errors.push_back(
        {Fault, LineNumber, Section, std::string(Key), std::string(Value)});
  }

  ini_document Document;
  std::uint32_t LineNumber = 0;
  bool InSection = false;
  std::string Section;
  std::set<std::string> SectionsSeen;
  std::set<std::pair<std::string, std::string>> KeysSeen;
};

} // namespace

ini_document parseIni(std::string_view Text) {
  if (Text.size() > MaxIniTextBytes)
    return {{}, {}, {ini_error{ini_fault::TextTooLarge, 0, {}, {}, {}}}};
  ini_parser Parser;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    Parser.readLine(Text.substr(0, End));
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Parser.finish();
}

} // namespace clementine
