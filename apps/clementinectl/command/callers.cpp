#include "clementinectl/command/commands.h"
#include "clementinectl/input/bundle_source_option.h"
#include "clementinectl/input/nodes.h"
#include "clementinectl/output/text_table.h"

#include <cmath>
#include <limits>
#include <map>
#include <ostream>

namespace clementine::ctl {

namespace {

constexpr double Unlimited = std::numeric_limits<double>::infinity();

/// A caller, its limits, and its usage summed over all nodes that responded.
struct caller_row {
  std::string Owner;
  std::string Importance;
  double RateLimit = Unlimited;
  double ConcurrencyLimit = Unlimited;
  double CostLimit = Unlimited;
  double Rate = 0;
  double InFlight = 0;
  double Cost = 0;
  double Refused = 0;
};

using caller_rows = std::map<std::string, caller_row>;

caller_rows rowsOf(const bundle &Bundle) {
  caller_rows Rows;
  for (const caller_entry &Caller : Bundle.callers())
    Rows[Caller.Name] = {Caller.Owner,
                         std::string(importanceName(Caller.Importance)),
                         Caller.Limits.Rate,
                         Caller.Limits.Concurrency == UnlimitedConcurrency
                             ? Unlimited
                             : static_cast<double>(Caller.Limits.Concurrency),
                         Caller.Limits.CostRate};
  return Rows;
}

double limitField(const nlohmann::json &Limits, const char *Field) {
  return jsonField(Limits, Field).is_number() ? numberField(Limits, Field)
                                              : Unlimited;
}

/// Adds the usage that the nodes report.
/// @param IsFromBundle whether owners and limits are already known from the
/// bundle.
void addUsage(const node_answers &Answers, bool IsFromBundle,
              caller_rows &Rows) {
  for (const node_answer &Answer : Answers.Answers)
    for (const nlohmann::json &Entry : jsonField(Answer.Body, "callers")) {
      caller_row &Row = Rows[stringField(Entry, "name")];
      if (!IsFromBundle) {
        const nlohmann::json &Limits = jsonField(Entry, "limits");
        Row.Owner = stringField(Entry, "owner");
        Row.Importance = stringField(Entry, "importance");
        Row.RateLimit = limitField(Limits, "rate_per_second");
        Row.ConcurrencyLimit = limitField(Limits, "concurrency");
        Row.CostLimit = limitField(Limits, "cost_per_second");
      }
      const nlohmann::json &Now = jsonField(Entry, "now");
      Row.Rate += numberField(Now, "rate_per_second");
      Row.InFlight += numberField(Now, "in_flight");
      Row.Cost += numberField(Now, "cost_per_second");
      Row.Refused += numberField(Entry, "refused_total");
    }
}

void printTable(const caller_rows &Rows, bool WithUsage, std::ostream &Out) {
  text_table::row Titles{"CALLER", "OWNER",       "IMPORTANCE",
                         "RATE/S", "CONCURRENCY", "COST/S"};
  if (WithUsage)
    Titles.insert(Titles.end(),
                  {"NOW RATE/S", "NOW IN FLIGHT", "NOW COST/S", "REFUSED"});
  text_table Table(std::move(Titles));
  for (const auto &[Name, Row] : Rows) {
    text_table::row Cells{Name,
                          Row.Owner,
                          Row.Importance,
                          numberText(Row.RateLimit),
                          numberText(Row.ConcurrencyLimit),
                          numberText(Row.CostLimit)};
    if (WithUsage)
      Cells.insert(Cells.end(),
                   {numberText(Row.Rate), numberText(Row.InFlight),
                    numberText(Row.Cost), numberText(Row.Refused)});
    Table.add(std::move(Cells));
  }
  Table.print(Out);
}

nlohmann::ordered_json orNull(double Limit) {
  return std::isinf(Limit) ? nlohmann::ordered_json(nullptr)
                           : nlohmann::ordered_json(Limit);
}

nlohmann::ordered_json jsonOf(const std::string &Name, const caller_row &Row,
                              bool WithUsage) {
  nlohmann::ordered_json Object{{"name", Name},
                                {"owner", Row.Owner},
                                {"importance", Row.Importance},
                                {"limits",
                                 {{"rate_per_second", orNull(Row.RateLimit)},
                                  {"concurrency", orNull(Row.ConcurrencyLimit)},
                                  {"cost_per_second", orNull(Row.CostLimit)}}}};
  if (!WithUsage)
    return Object;
  Object["now"] = {{"rate_per_second", Row.Rate},
                   {"in_flight", Row.InFlight},
                   {"cost_per_second", Row.Cost}};
  Object["refused_total"] = Row.Refused;
  return Object;
}

void printJson(const caller_rows &Rows,
               const std::optional<node_answers> &Answers, std::ostream &Out) {
  nlohmann::ordered_json List = nlohmann::ordered_json::array();
  for (const auto &[Name, Row] : Rows)
    List.push_back(jsonOf(Name, Row, Answers.has_value()));
  nlohmann::ordered_json Object{{"callers", List}};
  if (Answers)
    Object["silent"] = Answers->Unresponsive;
  Out << Object.dump(2) << "\n";
}

} // namespace

exit_code runCallers(const command &Self,
                     const std::vector<std::string> &Arguments,
                     command_context &Context) {
  command_line Line(Self, Context);
  TCLAP::SwitchArg Json("j", "json", "print JSON", Line.parser());
  TCLAP::ValueArg<std::string> Owner("o", "owner", "only this owner's callers",
                                     false, "", "NAME", Line.parser());
  const bundle_source_option Source(Line);
  const nodes_option Nodes(Line);
  if (const auto Exit = Line.parse(Arguments))
    return *Exit;

  exit_code Exit = exit_code::Success;
  caller_rows Rows;
  if (Source.isGiven()) {
    const auto Bundle = Source.read(Context, Exit);
    if (!Bundle)
      return Exit;
    Rows = rowsOf(*Bundle);
    Exit = exit_code::Success;
  }
  std::optional<node_answers> Answers;
  if (!Source.isGiven() || !Nodes.addresses().empty()) {
    Answers = queryNodes(Nodes, "/v1/callers", Context, Exit);
    if (!Answers && !Source.isGiven())
      return Exit;
  }
  if (Answers)
    addUsage(*Answers, Source.isGiven(), Rows);
  if (Owner.isSet())
    std::erase_if(Rows, [&](const auto &Each) {
      return Each.second.Owner != Owner.getValue();
    });
  if (Json.getValue())
    printJson(Rows, Answers, Context.Out);
  else
    printTable(Rows, Answers.has_value(), Context.Out);
  return Exit;
}

} // namespace clementine::ctl
