#include "clementinectl/command/commands.h"
#include "clementinectl/input/accepted.h"
#include "clementinectl/input/command_line.h"
#include "clementinectl/input/files.h"

#include <ostream>

namespace clementine::ctl {

namespace {

/// @returns the version to sign: @p Given, or the platform's next version.
std::optional<std::uint64_t> versionToSign(std::uint64_t Given,
                                           const platform_option &Platform,
                                           command_context &Context,
                                           exit_code &Exit) {
  if (Given != NoVersion)
    return Given;
  if (!Platform.isGiven()) {
    Exit = fail(Context, exit_code::Usage, "no version is given",
                "give --platform URL for the next one, or --version NUMBER");
    return std::nullopt;
  }
  const auto Store = Context.OpenPlatform(Platform.url());
  const auto Newest = bundle_reader(*Store).record();
  if (!Newest) {
    Exit = reportReadFailure(Newest.error(), Context);
    return std::nullopt;
  }
  if (!Newest.value())
    return NoVersion + 1;
  return Newest.value()->Record.Head.Version + 1;
}

} // namespace

exit_code runBundleSign(const command &Self,
                        const std::vector<std::string> &Arguments,
                        command_context &Context) {
  command_line Line(Self, Context);
  TCLAP::ValueArg<std::string> Key("k", "key", "the signing owner's .key file",
                                   true, "", "FILE", Line.parser());
  TCLAP::ValueArg<std::string> Reason("r", "reason",
                                      "why, for the history; printable ASCII, "
                                      "at most 200 characters",
                                      false, "", "TEXT", Line.parser());
  TCLAP::ValueArg<std::uint64_t> Version(
      "n", "number", "the version to sign; without it, the platform's next one",
      false, NoVersion, "VERSION", Line.parser());
  TCLAP::ValueArg<std::string> Output("o", "output",
                                      "the signed file; by default FILE.signed",
                                      false, "", "FILE", Line.parser());
  const platform_option Platform(Line);
  TCLAP::UnlabeledValueArg<std::string> File("file", "the bundle's text", true,
                                             "", "FILE", Line.parser());
  if (const auto Exit = Line.parse(Arguments))
    return *Exit;
  if (!isValidReason(Reason.getValue()))
    return fail(Context, exit_code::Usage, "invalid reason",
                "--reason takes printable ASCII, at most 200 characters");
  const auto Content = readBundle(File.getValue(), Context);
  if (!Content)
    return exit_code::BadFile;
  const auto Signer = readOwnerKey(Key.getValue(), Context);
  if (!Signer)
    return exit_code::BadFile;
  exit_code Exit = exit_code::Success;
  const auto Number =
      versionToSign(Version.getValue(), Platform, Context, Exit);
  if (!Number)
    return Exit;

  bundle_head Head;
  Head.Version = *Number;
  Head.Digest = Content->digest();
  Head.Owner = Signer->Owner;
  Head.WriteId = write_id::generate();
  Head.SignedAt = Context.Now();
  Head.Reason = Reason.getValue();
  Head.sign(Signer->Key);
  const signed_file Signed{{Head, *Content}, Signer->Key.publicKey()};
  const std::string Path =
      Output.isSet() ? Output.getValue() : File.getValue() + ".signed";
  if (!replaceFile(Path, Signed.text(), Context))
    return exit_code::BadFile;
  Context.Out << "signed version " << Head.Version << " as " << Head.Owner
              << " into " << Path << "\n";
  return exit_code::Success;
}

} // namespace clementine::ctl
