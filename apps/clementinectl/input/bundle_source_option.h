#ifndef CLEMENTINECTL_INPUT_BUNDLE_SOURCE_OPTION_H
#define CLEMENTINECTL_INPUT_BUNDLE_SOURCE_OPTION_H

#include "clementine_bundle/clementine_bundle.h"
#include "clementinectl/input/command_line.h"

#include <optional>

namespace clementine::ctl {

/// `--file FILE` for a bundle's text, or `--platform URL` for the newest
/// accepted bundle.
class bundle_source_option {
public:
  explicit bundle_source_option(command_line &Line);

  /// @returns whether a file or a platform is given.
  bool isGiven() const;

  /// Reads the bundle.
  /// @returns std::nullopt after an error, with its exit code in @p Exit.
  std::optional<bundle> read(command_context &Context, exit_code &Exit) const;

private:
  platform_option Platform;
  mutable TCLAP::ValueArg<std::string> File;
};

/// Reads the newest accepted bundle without checking its signature, which the
/// nodes do.
/// @returns std::nullopt after an error, with its exit code in @p Exit.
std::optional<signed_bundle>
readAccepted(const std::string &Url, command_context &Context, exit_code &Exit);

} // namespace clementine::ctl

#endif
