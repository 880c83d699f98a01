#include "clementinectl/input/files.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <ostream>
#include <sstream>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace clementine::ctl {

namespace {

/// Larger than any `.signed` file.
constexpr std::size_t MaxFileBytes = 4UL * 1024 * 1024;

constexpr mode_t EveryoneMode = 0644;
constexpr mode_t OwnerOnlyMode = 0600;

std::string reason() { return std::strerror(errno); }

bool writeAll(int File, std::string_view Text) {
  while (!Text.empty()) {
    const ssize_t Written = ::write(File, Text.data(), Text.size());
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written <= 0)
      return false;
    Text.remove_prefix(static_cast<std::size_t>(Written));
  }
  return true;
}

bool writeWith(const std::string &Path, const std::string &Text, int Flags,
               mode_t Mode) {
  const int File = ::open(Path.c_str(), Flags | O_WRONLY | O_CLOEXEC, Mode);
  if (File < 0)
    return false;
  const bool Written = writeAll(File, Text);
  return ::close(File) == 0 && Written;
}

template <class Value, class Failure>
std::optional<Value> parsed(result<Value, Failure> Parsed,
                            const std::string &Path, command_context &Context) {
  if (Parsed)
    return std::move(Parsed).value();
  printErrors(Path, Parsed.error(), Context);
  return std::nullopt;
}

} // namespace

std::optional<std::string> readFile(const std::string &Path,
                                    command_context &Context) {
  std::ifstream File(Path, std::ios::binary);
  if (!File) {
    fail(Context, exit_code::BadFile, Path + ": " + reason(),
         "check the path and its permissions");
    return std::nullopt;
  }
  std::string Text(MaxFileBytes + 1, '\0');
  File.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  if (File.bad() || Text.size() == static_cast<std::size_t>(File.gcount())) {
    fail(Context, exit_code::BadFile, Path + ": unreadable or above 4 MiB",
         "give another file");
    return std::nullopt;
  }
  Text.resize(static_cast<std::size_t>(File.gcount()));
  return Text;
}

bool writeNewFile(const std::string &Path, const std::string &Text,
                  file_access Access, command_context &Context) {
  const mode_t Mode =
      Access == file_access::OwnerOnly ? OwnerOnlyMode : EveryoneMode;
  if (writeWith(Path, Text, O_CREAT | O_EXCL, Mode))
    return true;
  fail(Context, exit_code::BadFile, Path + ": " + reason(),
       "give another path, or move the existing file");
  return false;
}

bool replaceFile(const std::string &Path, const std::string &Text,
                 command_context &Context) {
  const std::string Temporary = Path + ".new";
  if (writeWith(Temporary, Text, O_CREAT | O_TRUNC, EveryoneMode) &&
      std::rename(Temporary.c_str(), Path.c_str()) == 0)
    return true;
  fail(Context, exit_code::BadFile, Path + ": " + reason(),
       "give another path with --output");
  return false;
}

void printErrors(const std::string &Path, const bundle_errors &Errors,
                 command_context &Context) {
  for (const bundle_error &Error : Errors)
    Context.Err << Path << ": " << Error.text() << "\n";
}

std::optional<bundle> readBundle(const std::string &Path,
                                 command_context &Context) {
  const auto Text = readFile(Path, Context);
  if (!Text)
    return std::nullopt;
  return parsed(bundle::parse(*Text), Path, Context);
}

std::optional<owner_key> readOwnerKey(const std::string &Path,
                                      command_context &Context) {
  const auto Text = readFile(Path, Context);
  if (!Text)
    return std::nullopt;
  return parsed(owner_key::parse(*Text), Path, Context);
}

std::optional<trusted_owners> readTrustedOwners(const std::string &Path,
                                                command_context &Context) {
  const auto Text = readFile(Path, Context);
  if (!Text)
    return std::nullopt;
  return parsed(trusted_owners::parse(*Text), Path, Context);
}

std::optional<signed_file> readSignedFile(const std::string &Path,
                                          command_context &Context) {
  const auto Text = readFile(Path, Context);
  if (!Text)
    return std::nullopt;
  auto Parsed = signed_file::parse(*Text);
  if (Parsed)
    return std::move(Parsed).value();
  fail(Context, exit_code::BadFile, Path + ": " + Parsed.error().text(),
       "create the file again with clementinectl bundle sign");
  return std::nullopt;
}

} // namespace clementine::ctl
