/// Checks that gossip datagrams without a valid tag are rejected, and that the
/// same bytes with a valid tag either decode to a message or give a typed
/// fault.
#include "fuzz_input.h"

#include "clementine_membership/messages/datagram_codec.h"

#include <vector>

namespace clementine {
namespace {

peer_key_ring fuzzRing() {
  peer_key Key;
  Key.Id = "fuzz";
  return peer_key_ring::make({Key}).value();
}

void appendLittleEndian(std::vector<std::byte> &Bytes, std::uint32_t Number) {
  for (unsigned Shift = 0; Shift < 32; Shift += 8)
    Bytes.push_back(static_cast<std::byte>(Number >> Shift));
}

std::vector<std::byte> sealed(std::span<const std::byte> Body,
                              peer_key_ring &Ring) {
  const peer_tag Tag = Ring.sign(Body);
  std::vector<std::byte> Bytes(Body.begin(), Body.end());
  appendLittleEndian(Bytes, Tag.KeyHint);
  Bytes.insert(Bytes.end(), Tag.Bytes.begin(), Tag.Bytes.end());
  return Bytes;
}

} // namespace
} // namespace clementine

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace clementine;
  static peer_key_ring Ring = fuzzRing();
  static datagram_codec Codec(fuzzRing());
  const std::span<const std::byte> Body(
      reinterpret_cast<const std::byte *>(Data), Size);
  require(!Codec.open(Body).has_value());
  const auto Opened = Codec.open(sealed(Body, Ring));
  if (!Opened) {
    require(Opened.error() != datagram_fault::BadTag);
    return 0;
  }
  const auto Again = Codec.open(Codec.seal(Opened.value()));
  require(Again.has_value());
  require(Again.value() == Opened.value());
  return 0;
}
