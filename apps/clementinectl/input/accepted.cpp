#include "clementinectl/input/accepted.h"

namespace clementine::ctl {

namespace {

constexpr std::string_view CheckPlatform =
    "check --platform and the network, then run the command again";

} // namespace

exit_code reportReadFailure(const bundle_read_error &Error,
                            command_context &Context) {
  using fault = bundle_read_error::fault;
  switch (Error.Fault) {
  case fault::PlatformFailed:
    return fail(Context, exit_code::Unavailable, Error.text(), CheckPlatform);
  case fault::NoSuchVersion:
    return fail(Context, exit_code::NotFound, Error.text(),
                "clementinectl bundle history lists the versions");
  case fault::NotTrusted:
    return fail(Context, exit_code::Refused, Error.text(),
                "add the owner's .pub file to the trusted owners");
  case fault::DamagedHead:
  case fault::DamagedContent:
    break;
  }
  return fail(
      Context, exit_code::Refused, Error.text(),
      "nodes keep the bundle that they have; accept a new version, which "
      "is written completely");
}

exit_code reportPublishFailure(const publish_error &Error,
                               command_context &Context) {
  using fault = publish_error::fault;
  switch (Error.Fault) {
  case fault::Conflict:
  case fault::VersionNotNext:
    return fail(Context, exit_code::Refused, Error.text(),
                "compare with clementinectl bundle diff --platform, then sign "
                "again for the next version");
  case fault::UnknownOwner:
  case fault::BadSignature:
    return fail(Context, exit_code::Refused, Error.text(),
                "sign with the key of an owner whom the nodes trust");
  case fault::DigestMismatch:
    return fail(Context, exit_code::Refused, Error.text(),
                "create the file again with clementinectl bundle sign");
  case fault::DamagedStore:
    return fail(Context, exit_code::Refused, Error.text(),
                "inspect the key clementine/bundle/head in the platform");
  case fault::OutcomeUnknown:
    return fail(Context, exit_code::OutcomeUnknown, Error.text(),
                "run the same command again: it recognises its own write");
  case fault::PlatformFailed:
    break;
  }
  return fail(Context, exit_code::Unavailable, Error.text(), CheckPlatform);
}

exit_code reportMissingPlatform(command_context &Context) {
  return fail(Context, exit_code::Usage, "the platform's URL is missing",
              "give --platform URL or set CLEMENTINE_PLATFORM");
}

} // namespace clementine::ctl
