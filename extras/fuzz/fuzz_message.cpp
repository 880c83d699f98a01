/// Checks that a decoded message between nodes is unchanged by encoding and
/// decoding it again. The input bytes may differ from the encoded ones, since
/// cereal reads both byte orders and writes one.
#include "fuzz_input.h"

#include "clementine_wire/codec/message_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace clementine;
  const auto Message = decodeMessage(textOf(Data, Size));
  if (!Message)
    return 0;
  const auto Encoded = encodeMessage(Message.value());
  require(Encoded.has_value());
  const auto Again = decodeMessage(Encoded.value());
  require(Again.has_value());
  require(encodeMessage(Again.value()).value() == Encoded.value());
  return 0;
}
