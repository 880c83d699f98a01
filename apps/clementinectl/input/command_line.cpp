#include "clementinectl/input/command_line.h"

#include <cstdlib>
#include <ostream>

namespace clementine::ctl {

namespace {

constexpr const char *PlatformVariable = "CLEMENTINE_PLATFORM";

std::string environment(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? std::string() : std::string(Value);
}

} // namespace

command_line::command_line(const command &Self, command_context &Context)
    : Self(Self), Context(Context),
      Parser(std::string(Self.Summary), ' ', CLEMENTINE_VERSION) {
  Parser.setExceptionHandling(false);
}

std::optional<exit_code>
command_line::parse(const std::vector<std::string> &Arguments) {
  const std::string Program = "clementinectl " + std::string(Self.Name);
  std::vector<std::string> Words{Program};
  Words.insert(Words.end(), Arguments.begin(), Arguments.end());
  try {
    Parser.parse(Words);
  } catch (const TCLAP::ArgException &Error) {
    return fail(Context, exit_code::Usage, Error.error() + " " + Error.argId(),
                Program + " --help");
  } catch (const TCLAP::ExitException &Exit) {
    return Exit.getExitStatus() == 0 ? exit_code::Success : exit_code::Usage;
  }
  return std::nullopt;
}

platform_option::platform_option(command_line &Line)
    : Argument("p", "platform",
               "the platform's URL, such as http://127.0.0.1:2379; by default "
               "the environment variable CLEMENTINE_PLATFORM",
               false, environment(PlatformVariable), "URL", Line.parser()) {}

std::string platform_option::url() const { return Argument.getValue(); }

} // namespace clementine::ctl
