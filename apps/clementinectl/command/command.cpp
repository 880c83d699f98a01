#include "clementinectl/command/command.h"

#include "clementinectl/command/commands.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <ostream>

namespace clementine::ctl {

namespace {

constexpr int NameWidth = 18;

constexpr std::array Commands = {
    command{"keygen", "makes an owner's signing key", runKeygen},
    command{"bundle check", "lists every error of a bundle's text",
            runBundleCheck},
    command{"bundle diff", "shows what a new text changes", runBundleDiff},
    command{"bundle sign", "signs a bundle's text as its next version",
            runBundleSign},
    command{"bundle accept", "publishes a signed bundle to the platform",
            runBundleAccept},
    command{"bundle status", "shows the accepted version and who has it",
            runBundleStatus},
    command{"bundle history", "lists accepted versions, or prints one's text",
            runBundleHistory},
    command{"callers", "shows owners, importance, limits and use of callers",
            runCallers},
    command{"explain", "shows each value of a call's policy and its section",
            runExplain},
    command{"explain-request",
            "joins the log records of all nodes about a request",
            runExplainRequest},
    command{"upstreams", "lists the upstreams known to each queried node",
            runUpstreams},
    command{"nodes", "lists the nodes known to each queried node", runNodes},
};

void printHelp(std::ostream &Out) {
  Out << "usage: clementinectl COMMAND [OPTIONS]\n\n";
  for (const command &Command : Commands)
    Out << "  " << std::left << std::setw(NameWidth) << Command.Name
        << Command.Summary << "\n";
  Out << "\nclementinectl COMMAND --help prints a command's options.\n"
         "Exit codes: 0 done; 1 errors or differences found; 2 wrong command "
         "line;\n3 bad file; 4 refused; 5 no answer, nothing changed; 6 "
         "outcome "
         "unknown, run\nit again; 7 not found.\n";
}

/// @returns the number of words at the front of @p Words that form the name of
/// @p Command, or 0 if they do not match.
std::size_t matchingWordCount(const command &Command,
                              const std::vector<std::string> &Words) {
  if (!Words.empty() && Words[0] == Command.Name)
    return 1;
  if (Words.size() >= 2 && Words[0] + " " + Words[1] == Command.Name)
    return 2;
  return 0;
}

bool isOnlyOption(const std::vector<std::string> &Words, std::string_view Long,
                  std::string_view Short) {
  return Words.size() == 1 && (Words[0] == Long || Words[0] == Short);
}

} // namespace

std::span<const command> commands() { return Commands; }

exit_code runCommand(const std::vector<std::string> &Words,
                     command_context &Context) {
  if (isOnlyOption(Words, "--help", "-h")) {
    printHelp(Context.Out);
    return exit_code::Success;
  }
  if (isOnlyOption(Words, "--version", "-v")) {
    Context.Out << "clementinectl " CLEMENTINE_VERSION "\n";
    return exit_code::Success;
  }
  for (const command &Command : Commands) {
    const auto Named =
        static_cast<std::ptrdiff_t>(matchingWordCount(Command, Words));
    if (Named > 0)
      return Command.Run(Command, {Words.begin() + Named, Words.end()},
                         Context);
  }
  printHelp(Context.Err);
  return exit_code::Usage;
}

exit_code fail(command_context &Context, exit_code Code, std::string_view What,
               std::string_view Next) {
  Context.Err << "clementinectl: " << What << "\n";
  if (!Next.empty())
    Context.Err << "  next: " << Next << "\n";
  return Code;
}

} // namespace clementine::ctl
