#ifndef CLEMENTINECTL_COMMAND_EXIT_CODE_H
#define CLEMENTINECTL_COMMAND_EXIT_CODE_H

namespace clementine::ctl {

/// What a command's end means for scripts. docs/BUNDLE.md lists them.
enum class exit_code : int {
  Success = 0,
  /// The check found errors, or the two bundles differ.
  Negative = 1,
  /// The command line is wrong.
  Usage = 2,
  /// A file can't be read or written, or its content is wrong.
  BadFile = 3,
  /// Refused for good: not trusted, not the next version, or another bundle
  /// won.
  Refused = 4,
  /// The platform or a node gave no answer; nothing was changed.
  Unavailable = 5,
  /// The platform failed after the write was sent. The same call again tells.
  OutcomeUnknown = 6,
  /// The caller, operation or version is unknown.
  NotFound = 7,
};

} // namespace clementine::ctl

#endif
