#include "clementinectl/command/commands.h"
#include "clementinectl/input/accepted.h"
#include "clementinectl/input/command_line.h"
#include "clementinectl/input/files.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace clementine::ctl {

namespace {

constexpr unsigned PublishAttempts = 5;

/// @returns the trusted owners: those in the file, or the signer only if no
/// file is given.
std::optional<trusted_owners> ownersFor(const signed_file &Signed,
                                        const std::string &Path,
                                        command_context &Context) {
  if (!Path.empty())
    return readTrustedOwners(Path, Context);
  trusted_owners Owners;
  Owners.add(Signed.Bundle.Head.Owner, Signed.PublicKey);
  return Owners;
}

void print(const published_bundle &Published, bool AsJson, std::ostream &Out) {
  if (AsJson) {
    const nlohmann::ordered_json Object{
        {"version", Published.Head.Version},
        {"owner", Published.Head.Owner},
        {"write_id", Published.Head.WriteId.text()},
        {"was_accepted", Published.AlreadyAccepted},
        {"newest_version", Published.NewestVersion}};
    Out << Object.dump(2) << "\n";
    return;
  }
  Out << "version " << Published.Head.Version
      << (Published.AlreadyAccepted ? " had been accepted already"
                                    : " is accepted");
  if (Published.NewestVersion > Published.Head.Version)
    Out << "; the newest is version " << Published.NewestVersion;
  Out << "\n";
}

} // namespace

exit_code runBundleAccept(const command &Self,
                          const std::vector<std::string> &Arguments,
                          command_context &Context) {
  command_line Line(Self, Context);
  TCLAP::SwitchArg Json("j", "json", "print JSON", Line.parser());
  TCLAP::ValueArg<std::string> Signed("s", "signed", "the signed file", true,
                                      "", "FILE", Line.parser());
  TCLAP::ValueArg<std::string> Trusted(
      "t", "trusted",
      "the nodes' list of trusted owners; without it, whether the nodes trust "
      "the signer is not checked",
      false, "", "FILE", Line.parser());
  const platform_option Platform(Line);
  if (const auto Exit = Line.parse(Arguments))
    return *Exit;
  if (!Platform.isGiven())
    return reportMissingPlatform(Context);
  const auto File = readSignedFile(Signed.getValue(), Context);
  if (!File)
    return exit_code::BadFile;
  const auto Owners = ownersFor(*File, Trusted.getValue(), Context);
  if (!Owners)
    return exit_code::BadFile;

  const auto Store = Context.OpenPlatform(Platform.url());
  bundle_publisher Publisher(*Store, *Owners, {PublishAttempts, Context.Pause});
  const auto Published = Publisher.publish(File->Bundle);
  if (!Published)
    return reportPublishFailure(Published.error(), Context);
  print(Published.value(), Json.getValue(), Context.Out);
  return exit_code::Success;
}

} // namespace clementine::ctl
