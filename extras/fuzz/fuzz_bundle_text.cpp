/// Checks that the canonical text of every bundle that parses is parsed as an
/// equal bundle.
#include "fuzz_input.h"

#include "clementine_bundle/clementine_bundle.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace clementine;
  const auto Parsed = bundle::parse(textOf(Data, Size));
  if (!Parsed)
    return 0;
  const auto Again = bundle::parse(Parsed.value().text());
  require(Again.has_value());
  require(Again.value() == Parsed.value());
  return 0;
}
