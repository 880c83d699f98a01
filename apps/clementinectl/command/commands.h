#ifndef CLEMENTINECTL_COMMAND_COMMANDS_H
#define CLEMENTINECTL_COMMAND_COMMANDS_H

#include "clementinectl/command/command.h"

/// The implementations of the commands, one file each.
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
exit_code runBundleDiff(const command &Self,
                        const std::vector<std::string> &Arguments,
                        command_context &Context);
exit_code runBundleStatus(const command &Self,
                          const std::vector<std::string> &Arguments,
                          command_context &Context);
exit_code runBundleHistory(const command &Self,
                           const std::vector<std::string> &Arguments,
                           command_context &Context);
exit_code runCallers(const command &Self,
                     const std::vector<std::string> &Arguments,
                     command_context &Context);
exit_code runExplain(const command &Self,
                     const std::vector<std::string> &Arguments,
                     command_context &Context);
exit_code runExplainRequest(const command &Self,
                            const std::vector<std::string> &Arguments,
                            command_context &Context);
exit_code runUpstreams(const command &Self,
                       const std::vector<std::string> &Arguments,
                       command_context &Context);
exit_code runNodes(const command &Self,
                   const std::vector<std::string> &Arguments,
                   command_context &Context);

} // namespace clementine::ctl

#endif
