#ifndef CLEMENTINECTL_COMMAND_EXIT_CODE_H
#define CLEMENTINECTL_COMMAND_EXIT_CODE_H

namespace clementine::ctl {

/// The exit codes of commands, for scripts. Listed in docs/BUNDLE.md.
enum class exit_code : int {
  Success = 0,
  /// The check found errors, or the two bundles differ.
  Negative = 1,
  /// The command line is wrong.
  Usage = 2,
  /// A file can't be read or written, or its content is wrong.
  BadFile = 3,
  /// Refused permanently: not trusted, not the next version, or another bundle
  /// was accepted first.
  Refused = 4,
  /// The platform or a node did not respond; nothing was changed.
  Unavailable = 5,
  /// The platform failed after the write was sent. Repeating the same call
  /// determines the outcome.
  OutcomeUnknown = 6,
  /// The caller, operation or version is unknown.
  NotFound = 7,
};

} // namespace clementine::ctl

#endif
