#ifndef CLEMENTINECTL_INPUT_NODES_H
#define CLEMENTINECTL_INPUT_NODES_H

#include "clementinectl/input/command_line.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace clementine::ctl {

/// `--node HOST:PORT`, which may be repeated; by default the comma-separated
/// environment variable CLEMENTINE_NODES.
class nodes_option {
public:
  explicit nodes_option(command_line &Line);

  /// @returns the addresses of the admin ports to query.
  std::vector<std::string> addresses() const;

private:
  mutable TCLAP::MultiArg<std::string> Argument;
};

/// The response of one node.
struct node_answer {
  std::string Address;
  nlohmann::json Body;
};

/// The responses of the queried nodes.
struct node_answers {
  std::vector<node_answer> Answers;
  /// The addresses of the nodes that gave no usable response.
  std::vector<std::string> Unresponsive;
};

/// Requests one path from every node and prints an error for each node that
/// gave no usable response.
/// @returns std::nullopt, with the exit code in @p Exit, if no node is given or
/// none responded.
std::optional<node_answers> queryNodes(const nodes_option &Nodes,
                                       const std::string &Path,
                                       command_context &Context,
                                       exit_code &Exit);

/// Accessors that treat a missing field or one of the wrong type as empty,
/// because nodes of other versions may respond.
std::string stringField(const nlohmann::json &Object, const char *Field);
double numberField(const nlohmann::json &Object, const char *Field);
const nlohmann::json &jsonField(const nlohmann::json &Object,
                                const char *Field);

/// @returns a field, formatted for a cell of a table.
std::string cellText(const nlohmann::json &Object, const char *Field);

} // namespace clementine::ctl

#endif
