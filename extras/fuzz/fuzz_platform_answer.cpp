/// Checks that any bytes from the platform are either decoded or rejected. A
/// decoded range or lease is unchanged by encoding and decoding it again; a
/// decoded watch message can be decoded again after encoding.
#include "fuzz_input.h"

#include "clementine_platform/etcd/etcd_decoder.h"
#include "clementine_platform/etcd/etcd_encoder.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace clementine;
  const std::string_view Text = textOf(Data, Size);
  const auto Range = etcd::decodeRange(Text);
  if (Range)
    require(etcd::decodeRange(etcd::encodeRange(Range.value())).value() ==
            Range.value());
  const auto Lease = etcd::decodeLease(Text);
  if (Lease)
    require(etcd::decodeLease(etcd::encodeLease(Lease.value())).value() ==
            Lease.value());
  const auto Watched = etcd::decodeWatchMessage(Text);
  if (Watched)
    require(etcd::decodeWatchMessage(etcd::encodeWatchMessage(Watched.value()))
                .has_value());
  (void)etcd::decodeCommit(Text);
  (void)etcd::decodeLeaseRenewal(Text);
  return 0;
}
