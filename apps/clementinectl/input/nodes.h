#ifndef CLEMENTINECTL_INPUT_NODES_H
#define CLEMENTINECTL_INPUT_NODES_H

#include "clementinectl/input/command_line.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace clementine::ctl {

/// `--node HOST:PORT`, as often as wanted; by default the environment's
/// CLEMENTINE_NODES, separated by commas.
class nodes_option {
public:
  explicit nodes_option(command_line &Line);

  /// @returns the admin ports to ask.
  std::vector<std::string> addresses() const;

private:
  mutable TCLAP::MultiArg<std::string> Argument;
};

/// One node's answer.
struct node_answer {
  std::string Address;
  nlohmann::json Body;
};

/// What the nodes that were asked said.
struct node_answers {
  std::vector<node_answer> Answers;
  std::vector<std::string> Silent;
};

/// Asks every node for one path, and prints each one that gave no answer.
/// @returns empty, after an error, if no node is given or none answered.
std::optional<node_answers> askNodes(const nodes_option &Nodes,
                                     const std::string &Path,
                                     command_context &Context, exit_code &Exit);

/// Readers that take a missing or mistyped field for empty, as nodes of other
/// versions may answer.
std::string textIn(const nlohmann::json &Object, const char *Field);
double numberIn(const nlohmann::json &Object, const char *Field);
const nlohmann::json &childIn(const nlohmann::json &Object, const char *Field);

/// @returns a field as a cell of a table.
std::string cellOf(const nlohmann::json &Object, const char *Field);

} // namespace clementine::ctl

#endif
