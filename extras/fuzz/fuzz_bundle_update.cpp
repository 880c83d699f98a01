/// Checks that a decoded bundle update or head is unchanged by encoding and
/// decoding it again. The input bytes may differ from the encoded ones, since
/// cereal reads both byte orders and writes one.
#include "fuzz_input.h"

#include "clementine_bundle/clementine_bundle.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace clementine;
  const auto Update = decodeUpdate(textOf(Data, Size));
  if (Update) {
    const std::string Encoded = encodeUpdate(Update.value());
    require(encodeUpdate(decodeUpdate(Encoded).value()) == Encoded);
  }
  const auto Head = decodeHead(textOf(Data, Size));
  if (Head) {
    const std::string Encoded = encodeHead(Head.value());
    require(encodeHead(decodeHead(Encoded).value()) == Encoded);
  }
  return 0;
}
