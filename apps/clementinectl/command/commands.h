#ifndef CLEMENTINECTL_COMMAND_COMMANDS_H
#define CLEMENTINECTL_COMMAND_COMMANDS_H

#include "clementinectl/command/command.h"

/// The functions behind the table of commands, one file each.
namespace clementine::ctl {

exit_code runKeygen(const command &Self,
                    const std::vector<std::string> &Arguments,
                    command_context &Context);
exit_code runBundleCheck(const command &Self,
                         const std::vector<std::string> &Arguments,
                         command_context &Context);
exit_code runBundleSign(const command &Self,
                        const std::vector<std::string> &Arguments,
                        command_context &Context);
exit_code runBundleAccept(const command &Self,
                          const std::vector<std::string> &Arguments,
                          command_context &Context);

} // namespace clementine::ctl

#endif
