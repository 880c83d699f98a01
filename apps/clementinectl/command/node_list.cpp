#include "clementinectl/command/node_list.h"

#include "clementinectl/input/nodes.h"
#include "clementinectl/output/text_table.h"

#include <ostream>

namespace clementine::ctl {

namespace {

void printTable(const node_answers &Answers, const node_list &List,
                std::ostream &Out) {
  text_table::row Titles;
  for (const node_column &Column : List.Columns)
    Titles.emplace_back(Column.Title);
  Titles.emplace_back("SEEN BY");
  text_table Table(std::move(Titles));
  for (const node_answer &Answer : Answers.Answers)
    for (const nlohmann::json &Entry : jsonField(Answer.Body, List.Name)) {
      text_table::row Cells;
      for (const node_column &Column : List.Columns)
        Cells.push_back(cellText(Entry, Column.Field));
      Cells.push_back(stringField(jsonField(Answer.Body, "node"), "name"));
      Table.add(std::move(Cells));
    }
  Table.print(Out);
}

void printJson(const node_answers &Answers, const node_list &List,
               std::ostream &Out) {
  nlohmann::ordered_json Views = nlohmann::ordered_json::array();
  for (const node_answer &Answer : Answers.Answers)
    Views.push_back(
        {{"seen_by", stringField(jsonField(Answer.Body, "node"), "name")},
         {List.Name, jsonField(Answer.Body, List.Name)}});
  const nlohmann::ordered_json Object{{"views", Views},
                                      {"silent", Answers.Unresponsive}};
  Out << Object.dump(2) << "\n";
}

} // namespace

exit_code runNodeList(const command &Self,
                      const std::vector<std::string> &Arguments,
                      command_context &Context, const node_list &List) {
  command_line Line(Self, Context);
  TCLAP::SwitchArg Json("j", "json", "print JSON", Line.parser());
  const nodes_option Nodes(Line);
  if (const auto Exit = Line.parse(Arguments))
    return *Exit;
  exit_code Exit = exit_code::Success;
  const auto Answers = queryNodes(Nodes, List.Path, Context, Exit);
  if (!Answers)
    return Exit;
  if (Json.getValue())
    printJson(*Answers, List, Context.Out);
  else
    printTable(*Answers, List, Context.Out);
  return exit_code::Success;
}

} // namespace clementine::ctl
