#ifndef CLEMENTINECTL_INPUT_FILES_H
#define CLEMENTINECTL_INPUT_FILES_H

#include "clementine_bundle/clementine_bundle.h"
#include "clementinectl/command/command.h"

#include <optional>
#include <string>

/// Files that commands read and write. A function that returns std::nullopt has
/// already printed the error.
namespace clementine::ctl {

/// The users who may read a new file.
enum class file_access : std::uint8_t { Everyone, OwnerOnly };

/// Reads a file of at most 4 MiB.
std::optional<std::string> readFile(const std::string &Path,
                                    command_context &Context);

/// Writes a new file; fails if the file exists already.
bool writeNewFile(const std::string &Path, const std::string &Text,
                  file_access Access, command_context &Context);

/// Writes a file, replacing an existing one atomically.
bool replaceFile(const std::string &Path, const std::string &Text,
                 command_context &Context);

/// Prints every error, prefixed with the path.
void printErrors(const std::string &Path, const bundle_errors &Errors,
                 command_context &Context);

std::optional<bundle> readBundle(const std::string &Path,
                                 command_context &Context);
std::optional<owner_key> readOwnerKey(const std::string &Path,
                                      command_context &Context);
std::optional<trusted_owners> readTrustedOwners(const std::string &Path,
                                                command_context &Context);
std::optional<signed_file> readSignedFile(const std::string &Path,
                                          command_context &Context);

} // namespace clementine::ctl

#endif
