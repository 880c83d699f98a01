#include "clementinectl/command/commands.h"
#include "clementinectl/input/command_line.h"
#include "clementinectl/input/log_line.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <set>

namespace clementine::ctl {

namespace {

/// All log records of a node.
struct node_log {
  /// The file's name without its extension.
  std::string Name;
  std::vector<log_line> Lines;
};

/// The explanation of a request's outcome at the entry, by verdict and cause.
/// An empty cause matches any cause.
struct outcome_explanation {
  std::string_view Verdict;
  std::string_view Cause;
  std::string_view Text;
};

constexpr std::array<outcome_explanation, 14> OutcomeExplanations = {{
    {"completed", "", "the instance's own answer was passed on"},
    {"no-config", "", "the node had no configuration yet"},
    {"no-route", "", "no route of the configuration in force matched"},
    {"no-id", "", "the request named no id"},
    {"not-run", "overloaded", "refused: the gate's queue was full"},
    {"not-run", "held-back",
     "refused: too much of the least urgent work failed further down"},
    {"not-run", "too-late", "refused: too little time was left to run it"},
    {"not-run", "no-instance", "refused: no instance took work at the gate"},
    {"not-run", "unreachable",
     "refused: the gate or its instance could not "
     "be reached"},
    {"not-run", "rejected", "refused: the instance itself rejected it"},
    {"not-run", "", "refused: no gate of the service was known or left"},
    {"unknown", "broken",
     "not known whether it ran: the instance broke off or "
     "its answer was invalid"},
    {"unknown", "link-lost",
     "not known whether it ran: the gate's process "
     "ended, or the link to it was lost"},
    {"unknown", "", "not known whether it ran: its time was over"},
}};

/// Messages of records that report a change of a node's state.
constexpr std::array<std::string_view, 12> StateChangeMessages = {
    "configuration in force",
    "store lost",
    "store regained",
    "store answers again",
    "watch ended",
    "link lost",
    "link up",
    "link is silent",
    "record changed",
    "record vanished",
    "instance report",
    "node started"};

std::optional<node_log> readLog(const std::string &Path,
                                command_context &Context) {
  std::ifstream Stream(Path);
  if (!Stream) {
    fail(Context, exit_code::BadFile, Path + ": cannot be read",
         "give the log files of the nodes");
    return std::nullopt;
  }
  node_log Log;
  Log.Name = std::filesystem::path(Path).stem().string();
  std::string Text;
  while (std::getline(Stream, Text))
    if (auto Line = parseLogLine(Text))
      Log.Lines.push_back(std::move(*Line));
  return Log;
}

void print(const std::string &Node, const log_line &Line, std::ostream &Out) {
  Out << Line.Time << ' ' << Node << ' ' << Line.Component << ": "
      << Line.Message;
  for (const auto &[Key, Value] : Line.Fields)
    if (Key != "id")
      Out << ' ' << Key << '=' << (Value.empty() ? "\"\"" : Value);
  Out << '\n';
}

std::string_view explanationOf(const log_line &Answer) {
  const auto *Found = std::find_if(
      OutcomeExplanations.begin(), OutcomeExplanations.end(),
      [&](const outcome_explanation &Each) {
        return Each.Verdict == Answer.field("verdict") &&
               (Each.Cause.empty() || Each.Cause == Answer.field("cause"));
      });
  return Found == OutcomeExplanations.end()
             ? "this version has no explanation for the outcome"
             : Found->Text;
}

/// @returns the last record of each kind of state change up to @p Time that
/// concerns one of @p Nodes or names no other node, in order of time.
std::vector<const log_line *>
stateChangesUntil(const node_log &Log, const std::string &Time,
                  const std::set<std::string> &Nodes) {
  std::map<std::string, const log_line *> Last;
  for (const log_line &Line : Log.Lines) {
    if (Line.Time > Time ||
        std::find(StateChangeMessages.begin(), StateChangeMessages.end(),
                  Line.Message) == StateChangeMessages.end())
      continue;
    std::string About(Line.field("peer"));
    if (Line.Message.starts_with("record"))
      About = Line.field("node");
    if (About.empty() || Nodes.contains(About))
      Last[Line.Message + About + std::string(Line.field("duty"))] = &Line;
  }
  std::vector<const log_line *> Found;
  Found.reserve(Last.size());
  for (const auto &[Key, Line] : Last)
    Found.push_back(Line);
  std::sort(
      Found.begin(), Found.end(),
      [](const log_line *A, const log_line *B) { return A->Time < B->Time; });
  return Found;
}

/// Prints all log records of a request, its outcome, and the state of the nodes
/// involved at the time of the answer.
/// @returns whether any record of the request was found.
bool explain(const std::string &Id, const std::vector<node_log> &Logs,
             std::ostream &Out) {
  std::vector<std::pair<const node_log *, const log_line *>> RequestRecords;
  std::set<std::string> Nodes;
  for (const node_log &Log : Logs)
    for (const log_line &Line : Log.Lines)
      if (Line.field("id") == Id) {
        RequestRecords.emplace_back(&Log, &Line);
        Nodes.insert(Log.Name);
        for (const char *Key : {"gate", "last"})
          if (!Line.field(Key).empty())
            Nodes.emplace(Line.field(Key));
      }
  std::stable_sort(RequestRecords.begin(), RequestRecords.end(),
                   [](const auto &A, const auto &B) {
                     return A.second->Time < B.second->Time;
                   });
  for (const auto &[Log, Line] : RequestRecords)
    print(Log->Name, *Line, Out);
  for (const auto &[Log, Line] : RequestRecords) {
    if (Line->Message != "request answered")
      continue;
    Out << "=> " << explanationOf(*Line) << '\n';
    for (const node_log &Each : Logs) {
      if (!Nodes.contains(Each.Name))
        continue;
      Out << "what " << Each.Name << " believed then:\n";
      for (const log_line *Change : stateChangesUntil(Each, Line->Time, Nodes))
        print("  " + Each.Name, *Change, Out);
    }
  }
  return !RequestRecords.empty();
}

} // namespace

exit_code runExplainRequest(const command &Self,
                            const std::vector<std::string> &Arguments,
                            command_context &Context) {
  command_line Line(Self, Context);
  TCLAP::UnlabeledValueArg<std::string> Id("id", "the request's id", true, "",
                                           "ID", Line.parser());
  TCLAP::UnlabeledMultiArg<std::string> Files(
      "logs", "log files, each named after its node", true, "LOG",
      Line.parser());
  if (const auto Exit = Line.parse(Arguments))
    return *Exit;
  std::vector<node_log> Logs;
  for (const std::string &Path : Files.getValue()) {
    auto Log = readLog(Path, Context);
    if (!Log)
      return exit_code::BadFile;
    Logs.push_back(std::move(*Log));
  }
  if (explain(Id.getValue(), Logs, Context.Out))
    return exit_code::Success;
  return fail(Context, exit_code::NotFound,
              "no log record contains the request " + Id.getValue(),
              "check the metrics for dropped records, and give the logs of "
              "all nodes");
}

} // namespace clementine::ctl
