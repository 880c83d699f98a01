#include "clementinectl/command/commands.h"
#include "clementinectl/input/bundle_source_option.h"
#include "clementinectl/input/files.h"

#include <nlohmann/json.hpp>

#include <map>
#include <ostream>
#include <set>

namespace clementine::ctl {

namespace {

/// The texts of one part before and after; empty if the part is missing.
struct part_change {
  std::string Name;
  std::string Before;
  std::string After;
};

std::vector<part_change> changesBetween(const bundle &Before,
                                        const bundle &After) {
  std::map<std::string, part_change> Changes;
  for (const bundle_part &Part : Before.parts())
    Changes[Part.Name] = {Part.Name, Part.Text, {}};
  for (const bundle_part &Part : After.parts()) {
    part_change &Change = Changes[Part.Name];
    Change.Name = Part.Name;
    Change.After = Part.Text;
  }
  std::vector<part_change> Different;
  for (auto &[Name, Change] : Changes)
    if (Change.Before != Change.After)
      Different.push_back(std::move(Change));
  return Different;
}

/// @returns the lines below a part's header.
std::set<std::string> linesOf(const std::string &Text) {
  std::set<std::string> Lines;
  for (const source_section &Section : bundle_source::split(Text).Sections)
    for (const source_entry &Entry : Section.Entries)
      Lines.insert(std::string(Entry.Key) + " = " + std::string(Entry.Value));
  return Lines;
}

void printLines(const std::set<std::string> &Lines,
                const std::set<std::string> &Others, char Mark,
                std::ostream &Out) {
  for (const std::string &Line : Lines)
    if (!Others.contains(Line))
      Out << Mark << " " << Line << "\n";
}

void printText(const std::vector<part_change> &Changes, std::ostream &Out) {
  for (const part_change &Change : Changes) {
    const char Mark = Change.Before.empty()  ? '+'
                      : Change.After.empty() ? '-'
                                             : ' ';
    Out << Mark << " [" << Change.Name << "]\n";
    const auto Before = linesOf(Change.Before);
    const auto After = linesOf(Change.After);
    printLines(Before, After, '-', Out);
    printLines(After, Before, '+', Out);
  }
}

void printJson(const std::vector<part_change> &Changes, std::ostream &Out) {
  nlohmann::ordered_json List = nlohmann::ordered_json::array();
  for (const part_change &Change : Changes)
    List.push_back({{"part", Change.Name},
                    {"before", Change.Before},
                    {"after", Change.After}});
  Out << nlohmann::ordered_json{{"changes", List}}.dump(2) << "\n";
}

} // namespace

exit_code runBundleDiff(const command &Self,
                        const std::vector<std::string> &Arguments,
                        command_context &Context) {
  command_line Line(Self, Context);
  TCLAP::SwitchArg Json("j", "json", "print JSON", Line.parser());
  const bundle_source_option Source(Line);
  TCLAP::UnlabeledValueArg<std::string> File(
      "new", "the new text; it is compared with the accepted bundle or --file",
      true, "", "NEW", Line.parser());
  if (const auto Exit = Line.parse(Arguments))
    return *Exit;
  exit_code Exit = exit_code::Success;
  const auto Before = Source.read(Context, Exit);
  if (!Before)
    return Exit;
  const auto After = readBundle(File.getValue(), Context);
  if (!After)
    return exit_code::BadFile;
  const auto Changes = changesBetween(*Before, *After);
  if (Json.getValue())
    printJson(Changes, Context.Out);
  else
    printText(Changes, Context.Out);
  return Changes.empty() ? exit_code::Success : exit_code::Negative;
}

} // namespace clementine::ctl
