#ifndef CLEMENTINE_TESTS_BUNDLE_SAMPLE_BUNDLES_H
#define CLEMENTINE_TESTS_BUNDLE_SAMPLE_BUNDLES_H

#include "clementine_bundle/clementine_bundle.h"

#include <string>

namespace clementine::samples {

/// @returns the text of a bundle with @p Callers callers, the first of which is
/// limited to @p Rate calls per second.
inline std::string sampleBundleText(std::size_t Callers, unsigned Rate) {
  std::string Text = "[bundle]\nformat = 1\nname = sample\n\n"
                     "[service crematory-desk]\n\n"
                     "[operation crematory-desk reserve]\n"
                     "repeatable = no\ncost = 5\n\n";
  for (std::size_t Index = 0; Index < Callers; ++Index)
    Text += "[caller caller-" + std::to_string(Index) +
            "]\nowner = night-desk\nimportance = high\nrate = " +
            std::to_string(Index == 0 ? Rate : 200U) + "/s\n\n";
  return Text;
}

/// @returns the parsed bundle of sampleBundleText().
inline bundle sampleBundle(std::size_t Callers, unsigned Rate) {
  return bundle::parse(sampleBundleText(Callers, Rate)).value();
}

/// @returns a fixed key, whose seed is @p Digit repeated 64 times.
inline owner_key keyOf(const std::string &Owner, char Digit) {
  owner_key Key;
  Key.Owner = Owner;
  signing_key::parse(std::string(64, Digit), Key.Key);
  return Key;
}

/// @returns a signed head for @p Content, with a write id derived from the
/// version.
inline bundle_head headOf(const bundle &Content, std::uint64_t Version,
                          const owner_key &Key) {
  bundle_head Head;
  Head.Version = Version;
  Head.Digest = Content.digest();
  Head.Owner = Key.Owner;
  Head.WriteId.Bytes[0] = static_cast<std::uint8_t>(Version);
  Head.SignedAt = 1'796'000'000;
  Head.Reason = "raise the limit of the night desk";
  Head.sign(Key.Key);
  return Head;
}

/// @returns a full update with @p Content.
inline bundle_update fullUpdate(const bundle &Content, std::uint64_t Version,
                                const owner_key &Key) {
  return {headOf(Content, Version, Key), NoVersion,
          deltaBetween(std::nullopt, Content)};
}

/// @returns a list with @p Key as the only trusted key.
inline trusted_owners trustOnly(const owner_key &Key) {
  trusted_owners Owners;
  Owners.add(Key.Owner, Key.Key.publicKey());
  return Owners;
}

} // namespace clementine::samples

#endif
