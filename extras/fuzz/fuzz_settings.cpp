/// Checks that settings of any bytes are either read or rejected with a message
/// for each error.
#include "fuzz_input.h"

#include "clementine_settings/clementine_settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace clementine;
  const auto Settings = readSettings(textOf(Data, Size), "fuzz.ini");
  if (Settings) {
    require(!Settings.value().Name.empty());
    require(!Settings.value().PeerKeys.empty());
    return 0;
  }
  require(!Settings.error().Errors.empty());
  for (const settings_error &Error : Settings.error().Errors)
    require(!Error.Allowed.empty() && !Error.text().empty());
  return 0;
}
