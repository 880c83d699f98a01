#include "clementinectl/input/bundle_source_option.h"

#include "clementinectl/input/accepted.h"
#include "clementinectl/input/files.h"

namespace clementine::ctl {

bundle_source_option::bundle_source_option(command_line &Line)
    : Platform(Line),
      File("f", "file", "a bundle's text, in place of the accepted bundle",
           false, "", "FILE", Line.parser()) {}

bool bundle_source_option::isGiven() const {
  return File.isSet() || Platform.isGiven();
}

std::optional<bundle> bundle_source_option::read(command_context &Context,
                                                 exit_code &Exit) const {
  if (File.isSet()) {
    Exit = exit_code::BadFile;
    return readBundle(File.getValue(), Context);
  }
  if (!Platform.isGiven()) {
    Exit = fail(Context, exit_code::Usage, "no bundle is given",
                "give --platform URL, --file FILE or set CLEMENTINE_PLATFORM");
    return std::nullopt;
  }
  auto Accepted = readAccepted(Platform.url(), Context, Exit);
  if (!Accepted)
    return std::nullopt;
  return std::move(Accepted)->Content;
}

std::optional<signed_bundle> readAccepted(const std::string &Url,
                                          command_context &Context,
                                          exit_code &Exit) {
  const auto Store = Context.OpenPlatform(Url);
  bundle_reader Reader(*Store);
  const auto Newest = Reader.record();
  if (!Newest) {
    Exit = reportReadFailure(Newest.error(), Context);
    return std::nullopt;
  }
  if (!Newest.value()) {
    Exit = fail(Context, exit_code::NotFound, "no bundle has been accepted",
                "run clementinectl bundle sign, then bundle accept");
    return std::nullopt;
  }
  auto Read = Reader.content(Newest.value()->Record);
  if (Read)
    return std::move(Read).value();
  Exit = reportReadFailure(Read.error(), Context);
  return std::nullopt;
}

} // namespace clementine::ctl
