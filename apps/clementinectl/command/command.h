#ifndef CLEMENTINECTL_COMMAND_COMMAND_H
#define CLEMENTINECTL_COMMAND_COMMAND_H

#include "clementine_platform/store/platform_store.h"
#include "clementinectl/command/exit_code.h"
#include "clementinectl/input/node_client.h"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementine::ctl {

/// The output streams and external services that a command uses.
struct command_context {
  std::ostream &Out;
  std::ostream &Err;
  /// Opens the platform at a URL such as `http://127.0.0.1:2379`.
  std::function<std::unique_ptr<platform_store>(const std::string &Url)>
      OpenPlatform;
  /// Reads a path of a node's admin port; see fetchNode().
  std::function<result<std::string, node_error>(const std::string &Node,
                                                const std::string &Path)>
      FetchNode;
  /// Seconds since 1970-01-01 UTC.
  std::function<std::int64_t()> Now;
  /// Waits before a further attempt, numbered from 1.
  std::function<void(unsigned Attempt)> Pause;
};

/// One command of the tool.
struct command {
  /// One word, or two for the commands of a group, such as `bundle check`.
  std::string_view Name;
  std::string_view Summary;
  /// @param Arguments the arguments after the command's name.
  exit_code (*Run)(const command &Self,
                   const std::vector<std::string> &Arguments,
                   command_context &Context);
};

/// @returns the table of all commands.
std::span<const command> commands();

/// Finds and runs a command.
/// @param Words the command line without the program's name.
exit_code runCommand(const std::vector<std::string> &Words,
                     command_context &Context);

/// Prints an error.
/// @param Next what the user can do about it; may be empty.
/// @returns @p Code, for a return statement.
exit_code fail(command_context &Context, exit_code Code, std::string_view What,
               std::string_view Next);

} // namespace clementine::ctl

#endif
