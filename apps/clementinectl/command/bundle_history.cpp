#include "clementinectl/command/commands.h"
#include "clementinectl/input/accepted.h"
#include "clementinectl/input/command_line.h"
#include "clementinectl/output/text_table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>

namespace clementine::ctl {

namespace {

constexpr std::size_t DefaultHistoryLength = 20;

exit_code printText(bundle_reader &Reader, std::uint64_t Version,
                    command_context &Context) {
  const auto Newest = Reader.record();
  if (!Newest)
    return reportReadFailure(Newest.error(), Context);
  if (!Newest.value())
    return reportReadFailure({bundle_read_error::fault::NoSuchVersion, {}},
                             Context);
  const auto Read = Reader.content(Newest.value()->Record, Version);
  if (!Read)
    return reportReadFailure(Read.error(), Context);
  Context.Out << Read.value().Content.text();
  return exit_code::Success;
}

void printJson(std::span<const bundle_head> Heads, std::ostream &Out) {
  nlohmann::ordered_json List = nlohmann::ordered_json::array();
  for (const bundle_head &Head : Heads)
    List.push_back({{"version", Head.Version},
                    {"signed_at", Head.SignedAt},
                    {"owner", Head.Owner},
                    {"reason", Head.Reason},
                    {"digest", Head.Digest.text()},
                    {"write_id", Head.WriteId.text()}});
  Out << nlohmann::ordered_json{{"history", List}}.dump(2) << "\n";
}

void printTable(std::span<const bundle_head> Heads, std::ostream &Out) {
  text_table Table({"VERSION", "SIGNED AT", "OWNER", "DIGEST", "REASON"});
  constexpr std::size_t DigestDigits = 12;
  for (const bundle_head &Head : Heads)
    Table.add({std::to_string(Head.Version), timeText(Head.SignedAt),
               Head.Owner, Head.Digest.text().substr(0, DigestDigits),
               Head.Reason});
  Table.print(Out);
}

} // namespace

exit_code runBundleHistory(const command &Self,
                           const std::vector<std::string> &Arguments,
                           command_context &Context) {
  command_line Line(Self, Context);
  TCLAP::SwitchArg Json("j", "json", "print JSON", Line.parser());
  TCLAP::ValueArg<std::size_t> Last("l", "last", "how many versions to list",
                                    false, DefaultHistoryLength, "COUNT",
                                    Line.parser());
  TCLAP::ValueArg<std::uint64_t> Text(
      "t", "text", "print the text of one version, to be signed again", false,
      NoVersion, "VERSION", Line.parser());
  const platform_option Platform(Line);
  if (const auto Exit = Line.parse(Arguments))
    return *Exit;
  if (!Platform.isGiven())
    return reportMissingPlatform(Context);
  const auto Store = Context.OpenPlatform(Platform.url());
  bundle_reader Reader(*Store);
  if (Text.isSet())
    return printText(Reader, Text.getValue(), Context);
  const auto History = Reader.history();
  if (!History)
    return reportReadFailure(History.error(), Context);
  const std::span<const bundle_head> All = History.value();
  const auto Heads = All.last(std::min(All.size(), Last.getValue()));
  if (Json.getValue())
    printJson(Heads, Context.Out);
  else
    printTable(Heads, Context.Out);
  return exit_code::Success;
}

} // namespace clementine::ctl
