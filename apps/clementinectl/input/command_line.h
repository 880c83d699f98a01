#ifndef CLEMENTINECTL_INPUT_COMMAND_LINE_H
#define CLEMENTINECTL_INPUT_COMMAND_LINE_H

#include "clementinectl/command/command.h"

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

namespace clementine::ctl {

/// The options of one command: declare arguments on parser(), then parse().
class command_line {
public:
  command_line(const command &Self, command_context &Context);

  command_line(const command_line &) = delete;
  command_line &operator=(const command_line &) = delete;

  /// @returns the TCLAP parser, to which arguments are added.
  TCLAP::CmdLine &parser() { return Parser; }

  /// Parses the arguments.
  /// @returns the exit code if the command has to end, after `--help` or an
  /// error; otherwise std::nullopt.
  std::optional<exit_code> parse(const std::vector<std::string> &Arguments);

private:
  const command &Self;
  command_context &Context;
  TCLAP::CmdLine Parser;
};

/// `--platform URL`, by default the environment variable CLEMENTINE_PLATFORM.
class platform_option {
public:
  explicit platform_option(command_line &Line);

  /// @returns whether the platform's URL is given.
  bool isGiven() const { return !url().empty(); }

  /// @returns the URL, or an empty text.
  std::string url() const;

private:
  // TCLAP's accessors are not const.
  mutable TCLAP::ValueArg<std::string> Argument;
};

} // namespace clementine::ctl

#endif
