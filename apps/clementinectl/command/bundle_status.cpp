#include "clementinectl/command/commands.h"
#include "clementinectl/input/accepted.h"
#include "clementinectl/input/nodes.h"
#include "clementinectl/output/text_table.h"

#include <ostream>

namespace clementine::ctl {

namespace {

void printHead(const std::optional<read_record> &Newest, std::ostream &Out) {
  if (!Newest) {
    Out << "no bundle has been accepted\n";
    return;
  }
  const bundle_head &Head = Newest->Record.Head;
  Out << "accepted: version " << Head.Version << ", signed by " << Head.Owner
      << " at " << timeText(Head.SignedAt) << "\n  digest "
      << Head.Digest.text() << "\n  reason "
      << (Head.Reason.empty() ? "-" : Head.Reason) << "\n";
}

std::string bundleState(const nlohmann::json &Bundle, std::uint64_t Newest) {
  if (!Bundle.is_object())
    return "has no bundle";
  const double Version = numberField(Bundle, "version");
  if (Version == static_cast<double>(Newest))
    return "in force";
  return Version < static_cast<double>(Newest) ? "behind" : "ahead";
}

void printNodes(const node_answers &Answers, std::uint64_t Newest,
                std::ostream &Out) {
  text_table Table({"NODE", "DATA CENTRE", "VERSION", "STANDING",
                    "IN FORCE SECONDS", "CONFIRMED SECONDS AGO"});
  for (const node_answer &Answer : Answers.Answers) {
    const nlohmann::json &Node = jsonField(Answer.Body, "node");
    const nlohmann::json &Bundle = jsonField(Answer.Body, "bundle");
    Table.add({stringField(Node, "name"), stringField(Node, "data_centre"),
               cellText(Bundle, "version"), bundleState(Bundle, Newest),
               cellText(Bundle, "in_force_seconds"),
               cellText(Bundle, "confirmed_seconds_ago")});
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
      Object["nodes"].push_back({{"node", jsonField(Answer.Body, "node")},
                                 {"bundle", jsonField(Answer.Body, "bundle")}});
    Object["silent"] = Answers->Unresponsive;
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
    return reportMissingPlatform(Context);
  const auto Store = Context.OpenPlatform(Platform.url());
  const auto Newest = bundle_reader(*Store).record();
  if (!Newest)
    return reportReadFailure(Newest.error(), Context);

  exit_code Exit = exit_code::Success;
  std::optional<node_answers> Answers;
  if (!Nodes.addresses().empty())
    Answers = queryNodes(Nodes, "/v1/bundle", Context, Exit);
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
