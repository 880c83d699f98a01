#include "clementinectl/input/nodes.h"

#include "clementinectl/output/text_table.h"

#include <cstdlib>
#include <ostream>
#include <sstream>

namespace clementine::ctl {

namespace {

constexpr const char *NodesVariable = "CLEMENTINE_NODES";

std::vector<std::string> splitAtCommas(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    if (!Part.empty())
      Parts.push_back(Part);
  return Parts;
}

} // namespace

nodes_option::nodes_option(command_line &Line)
    : Argument("n", "node",
               "a node's admin port; may be given several times; by default "
               "the environment variable CLEMENTINE_NODES, separated by commas",
               false, "HOST:PORT", Line.parser()) {}

std::vector<std::string> nodes_option::addresses() const {
  if (Argument.isSet())
    return Argument.getValue();
  const char *Value = std::getenv(NodesVariable);
  return Value == nullptr ? std::vector<std::string>() : splitAtCommas(Value);
}

std::optional<node_answers> queryNodes(const nodes_option &Nodes,
                                       const std::string &Path,
                                       command_context &Context,
                                       exit_code &Exit) {
  const auto Addresses = Nodes.addresses();
  if (Addresses.empty()) {
    Exit = fail(Context, exit_code::Usage, "no node is given",
                "give --node HOST:PORT or set CLEMENTINE_NODES");
    return std::nullopt;
  }
  node_answers Answers;
  for (const std::string &Address : Addresses) {
    auto Fetched = Context.FetchNode(Address, Path);
    nlohmann::json Body;
    if (Fetched)
      Body = nlohmann::json::parse(Fetched.value(), nullptr, false);
    if (Fetched && Body.is_object()) {
      Answers.Answers.push_back({Address, std::move(Body)});
      continue;
    }
    const node_error Error =
        Fetched ? node_error{node_error::fault::NotJson, 0} : Fetched.error();
    fail(Context, exit_code::Unavailable,
         "node " + Address + " " + Error.text(), "");
    Answers.Unresponsive.push_back(Address);
  }
  if (!Answers.Answers.empty())
    return Answers;
  Exit = fail(Context, exit_code::Unavailable, "no node answered",
              "check the addresses of the nodes' admin ports");
  return std::nullopt;
}

std::string stringField(const nlohmann::json &Object, const char *Field) {
  const nlohmann::json &Value = jsonField(Object, Field);
  return Value.is_string() ? Value.get<std::string>() : std::string();
}

double numberField(const nlohmann::json &Object, const char *Field) {
  const nlohmann::json &Value = jsonField(Object, Field);
  return Value.is_number() ? Value.get<double>() : 0;
}

const nlohmann::json &jsonField(const nlohmann::json &Object,
                                const char *Field) {
  static const nlohmann::json Nothing;
  if (!Object.is_object())
    return Nothing;
  const auto Found = Object.find(Field);
  return Found == Object.end() ? Nothing : *Found;
}

std::string cellText(const nlohmann::json &Object, const char *Field) {
  const nlohmann::json &Value = jsonField(Object, Field);
  if (Value.is_string())
    return Value.get<std::string>();
  if (Value.is_boolean())
    return Value.get<bool>() ? "yes" : "no";
  return Value.is_number() ? numberText(Value.get<double>()) : std::string();
}

} // namespace clementine::ctl
