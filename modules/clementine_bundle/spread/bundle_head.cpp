#include "clementine_bundle/spread/bundle_head.h"

#include <algorithm>
#include <cassert>

#include <openssl/rand.h>

namespace clementine {

namespace {

/// Domain separation: prevents a signature over a head from being accepted as
/// one over any other data.
constexpr std::string_view SigningContext = "clementine bundle head 1\n";

} // namespace

write_id write_id::generate() {
  write_id Id;
  const int Filled =
      RAND_bytes(Id.Bytes.data(), static_cast<int>(Id.Bytes.size()));
  assert(Filled == 1 && "the random generator failed");
  static_cast<void>(Filled);
  return Id;
}

std::string write_id::text() const {
  return hexText({reinterpret_cast<const char *>(Bytes.data()), Bytes.size()});
}

bool write_id::parse(std::string_view Text, write_id &Id) {
  std::string Bytes;
  if (Text.size() != 2 * Id.Bytes.size() || !parseHex(Text, Bytes))
    return false;
  std::copy(Bytes.begin(), Bytes.end(), Id.Bytes.begin());
  return true;
}

std::string bundle_head::signedText() const {
  std::string Text(SigningContext);
  Text += std::to_string(Version) + "\n";
  Text += Digest.text() + "\n";
  Text += Owner + "\n";
  Text += WriteId.text() + "\n";
  Text += std::to_string(SignedAt) + "\n";
  Text += Reason;
  return Text;
}

void bundle_head::sign(const signing_key &Key) {
  Signature = Key.sign(signedText());
}

signature_check checkSignature(const bundle_head &Head,
                               const trusted_owners &Owners) {
  const verification_key *Key = Owners.find(Head.Owner);
  if (Key == nullptr)
    return signature_check::UnknownOwner;
  return Key->verifies(Head.signedText(), Head.Signature)
             ? signature_check::Good
             : signature_check::BadSignature;
}

bool isValidReason(std::string_view Reason) {
  return Reason.size() <= MaxReasonBytes &&
         std::all_of(Reason.begin(), Reason.end(), [](char Character) {
           return Character >= ' ' && Character <= '~';
         });
}

} // namespace clementine
