#include "clementinectl/command/commands.h"
#include "clementinectl/input/accepted.h"
#include "clementinectl/input/nodes.h"
#include "clementinectl/output/text_table.h"

#include <ostream>

namespace clementine::ctl {

namespace {

void printHead(const std::optional<read_record> &Newest, std::ostream &Out) {
  if (!Newest) {
    Out << "no bundle was ever accepted\n";
    return;
  }
  const bundle_head &Head = Newest->Record.Head;
  Out << "accepted: version " << Head.Version << ", signed by " << Head.Owner
      << " at " << timeText(Head.SignedAt) << "\n  digest "
      << Head.Digest.text() << "\n  reason "
      << (Head.Reason.empty() ? "-" : Head.Reason) << "\n";
}

std::string standingOf(const nlohmann::json &Bundle, std::uint64_t Newest) {
  if (!Bundle.is_object())
    return "has no bundle";
  const double Version = numberIn(Bundle, "version");
  if (Version == static_cast<double>(Newest))
    return "in force";
  return Version < static_cast<double>(Newest) ? "behind" : "ahead";
}

void printNodes(const node_answers &Answers, std::uint64_t Newest,
                std::ostream &Out) {
  text_table Table({"NODE", "DATA CENTRE", "VERSION", "STANDING",
                    "IN FORCE SECONDS", "CONFIRMED SECONDS AGO"});
  for (const node_answer &Answer : Answers.Answers) {
    const nlohmann::json &Node = childIn(Answer.Body, "node");
    const nlohmann::json &Bundle = childIn(Answer.Body, "bundle");
    Table.add({textIn(Node, "name"), textIn(Node, "data_centre"),
               cellOf(Bundle, "version"), standingOf(Bundle, Newest),
               cellOf(Bundle, "in_force_seconds"),
               cellOf(Bundle, "confirmed_seconds_ago")});
  }
  Out << "\n";
  Table.print(Out);
}

void printJson(const std::optional<read_record> &Newest,
               const std::optional<node_answers> &Answers, std::ostream &Out) {
  nlohmann::ordered_json Object;
  Object["accepted"] = nullptr;
  if (Newest) {
    const bundle_head &Head = Newest->Record.Head;
    Object["accepted"] = {{"version", Head.Version},
                          {"digest", Head.Digest.text()},
                          {"owner", Head.Owner},
                          {"signed_at", Head.SignedAt},
                          {"reason", Head.Reason}};
  }
  Object["nodes"] = nlohmann::ordered_json::array();
  if (Answers) {
    for (const node_answer &Answer : Answers->Answers)
      Object["nodes"].push_back({{"node", childIn(Answer.Body, "node")},
                                 {"bundle", childIn(Answer.Body, "bundle")}});
    Object["silent"] = Answers->Silent;
  }
  Out << Object.dump(2) << "\n";
}

} // namespace

exit_code runBundleStatus(const command &Self,
                          const std::vector<std::string> &Arguments,
                          command_context &Context) {
  command_line Line(Self, Context);
  TCLAP::SwitchArg Json("j", "json", "print JSON", Line.parser());
  const platform_option Platform(Line);
  const nodes_option Nodes(Line);
  if (const auto Exit = Line.parse(Arguments))
    return *Exit;
  if (!Platform.isGiven())
    return failedWithoutPlatform(Context);
  const auto Store = Context.OpenPlatform(Platform.url());
  const auto Newest = bundle_reader(*Store).record();
  if (!Newest)
    return failedRead(Newest.error(), Context);

  exit_code Exit = exit_code::Success;
  std::optional<node_answers> Answers;
  if (!Nodes.addresses().empty())
    Answers = askNodes(Nodes, "/v1/bundle", Context, Exit);
  if (Json.getValue()) {
    printJson(Newest.value(), Answers, Context.Out);
    return Exit;
  }
  printHead(Newest.value(), Context.Out);
  const std::uint64_t Version =
      Newest.value() ? Newest.value()->Record.Head.Version : NoVersion;
  if (Answers)
    printNodes(*Answers, Version, Context.Out);
  return Exit;
}

} // namespace clementine::ctl
