#ifndef CLEMENTINECTL_INPUT_ACCEPTED_H
#define CLEMENTINECTL_INPUT_ACCEPTED_H

#include "clementine_bundle/clementine_bundle.h"
#include "clementinectl/command/command.h"

/// What the platform holds, with its failures as exit codes.
namespace clementine::ctl {

/// Prints why the platform could not be read.
exit_code failedRead(const bundle_read_error &Error, command_context &Context);

/// Prints why a bundle was not accepted.
exit_code failedPublish(const publish_error &Error, command_context &Context);

/// Says that the platform's URL is missing.
exit_code failedWithoutPlatform(command_context &Context);

} // namespace clementine::ctl

#endif
