#include "clementinectl/command/commands.h"
#include "clementinectl/input/bundle_source_option.h"
#include "clementinectl/output/text_table.h"

#include <nlohmann/json.hpp>

#include <array>
#include <ostream>

namespace clementine::ctl {

namespace {

/// One value of a policy and the section that it comes from.
struct decided_value {
  const char *Name;
  std::string Value;
  std::string Section;
};

std::string limitsText(const policy_limits &Limits) {
  const std::string Concurrency = Limits.Concurrency == UnlimitedConcurrency
                                      ? "unlimited"
                                      : std::to_string(Limits.Concurrency);
  return numberText(Limits.Rate) + " calls/s, " + Concurrency +
         " at once, cost " + numberText(Limits.CostRate) + "/s";
}

std::vector<decided_value> valuesOf(const bundle &Bundle,
                                    const operation_policy &Policy) {
  const auto Section = [&](section_index Index) {
    return std::string(Bundle.sectionName(Index));
  };
  const policy_sources &Sources = Policy.Sources;
  const caller_entry &Caller = Bundle.callers()[Policy.Caller];
  std::vector<decided_value> Values{
      {"owner", Caller.Owner, Section(Caller.Section)},
      {"importance", std::string(importanceName(Policy.Importance)),
       Section(Sources.Importance)},
      {"repeatable", Policy.Repeatable ? "yes" : "no",
       Section(Sources.Repeatable)},
      {"deadline", std::to_string(Policy.Deadline.count()) + "ms",
       Section(Sources.Deadline)},
      {"retry_budget", std::to_string(Policy.RetryBudget),
       Section(Sources.RetryBudget)},
      {"cost", numberText(Policy.Cost), Section(Sources.Cost)},
      {"caller_limits", limitsText(Policy.Limits), Section(Caller.Section)}};
  if (Sources.OperationLimits != BuiltIn)
    Values.push_back({"operation_limits", limitsText(Policy.OperationLimits),
                      Section(Sources.OperationLimits)});
  return Values;
}

void printTable(const std::vector<decided_value> &Values, std::ostream &Out) {
  text_table Table({"WHAT", "VALUE", "DECIDED BY"});
  for (const decided_value &Value : Values)
    Table.add({Value.Name, Value.Value, Value.Section});
  Table.print(Out);
}

void printJson(const std::vector<decided_value> &Values, std::ostream &Out) {
  nlohmann::ordered_json Object;
  for (const decided_value &Value : Values)
    Object[Value.Name] = {{"value", Value.Value},
                          {"decided_by", Value.Section}};
  Out << Object.dump(2) << "\n";
}

} // namespace

exit_code runExplain(const command &Self,
                     const std::vector<std::string> &Arguments,
                     command_context &Context) {
  command_line Line(Self, Context);
  TCLAP::SwitchArg Json("j", "json", "print JSON", Line.parser());
  const bundle_source_option Source(Line);
  TCLAP::UnlabeledValueArg<std::string> Caller("caller", "who calls", true, "",
                                               "CALLER", Line.parser());
  TCLAP::UnlabeledValueArg<std::string> Service(
      "service", "which service", true, "", "SERVICE", Line.parser());
  TCLAP::UnlabeledValueArg<std::string> Operation(
      "operation", "which operation", true, "", "OPERATION", Line.parser());
  if (const auto Exit = Line.parse(Arguments))
    return *Exit;
  exit_code Exit = exit_code::Success;
  const auto Bundle = Source.read(Context, Exit);
  if (!Bundle)
    return Exit;
  const auto Policy = Bundle->decide(Caller.getValue(), Service.getValue(),
                                     Operation.getValue());
  if (!Policy)
    return fail(Context, exit_code::NotFound,
                std::string(policyErrorName(Policy.error())) +
                    "; nodes refuse such a call as not run",
                "add its section to the bundle, or correct the name");
  const auto Values = valuesOf(*Bundle, Policy.value());
  if (Json.getValue())
    printJson(Values, Context.Out);
  else
    printTable(Values, Context.Out);
  return exit_code::Success;
}

} // namespace clementine::ctl
