#ifndef CLEMENTINECTL_INPUT_ACCEPTED_H
#define CLEMENTINECTL_INPUT_ACCEPTED_H

#include "clementine_bundle/clementine_bundle.h"
#include "clementinectl/command/command.h"

/// Reports failures of reads and writes in the platform as messages and exit
/// codes.
namespace clementine::ctl {

/// Prints why the platform could not be read.
exit_code reportReadFailure(const bundle_read_error &Error,
                            command_context &Context);

/// Prints why a bundle was not accepted.
exit_code reportPublishFailure(const publish_error &Error,
                               command_context &Context);

/// Prints that the platform's URL is missing.
exit_code reportMissingPlatform(command_context &Context);

} // namespace clementine::ctl

#endif
