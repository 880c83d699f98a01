#include "clementinectl/command/commands.h"
#include "clementinectl/input/command_line.h"
#include "clementinectl/input/files.h"

#include <ostream>

namespace clementine::ctl {

exit_code runKeygen(const command &Self,
                    const std::vector<std::string> &Arguments,
                    command_context &Context) {
  command_line Line(Self, Context);
  TCLAP::ValueArg<std::string> Owner("o", "owner", "who will sign with the key",
                                     true, "", "NAME", Line.parser());
  TCLAP::ValueArg<std::string> Directory("d", "directory",
                                         "where the two files go", false, ".",
                                         "DIRECTORY", Line.parser());
  if (const auto Exit = Line.parse(Arguments))
    return *Exit;
  if (!isValidName(Owner.getValue()))
    return fail(Context, exit_code::Usage, "invalid owner name",
                "--owner takes " + std::string(AllowedName));

  const owner_key Key{Owner.getValue(), signing_key::generate()};
  const std::string Base = Directory.getValue() + "/" + Key.Owner;
  if (!writeNewFile(Base + ".key", Key.privateText(), file_access::OwnerOnly,
                    Context))
    return exit_code::BadFile;
  if (!writeNewFile(Base + ".pub", Key.publicText(), file_access::Everyone,
                    Context))
    return exit_code::BadFile;
  Context.Out << "wrote " << Base << ".key (keep it secret) and " << Base
              << ".pub (for the nodes' trusted owners)\n";
  return exit_code::Success;
}

} // namespace clementine::ctl
