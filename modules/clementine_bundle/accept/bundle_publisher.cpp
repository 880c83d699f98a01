#include "clementine_bundle/accept/bundle_publisher.h"

#include "clementine_bundle/accept/accept_transaction.h"

#include <array>
#include <utility>

namespace clementine {

namespace {

using fault = publish_error::fault;

constexpr std::array<std::string_view, 8> FaultTexts = {
    "another bundle was accepted under this version",
    "signed for a version that is not the next one",
    "the signing owner is not trusted",
    "the signature does not verify",
    "the content is not the signed one",
    "what the platform holds is damaged",
    "the platform failed before the write; this call changed nothing",
    "the platform failed after the write was sent; it may be accepted",
};

publish_error errorOf(fault Fault) {
  publish_error Error;
  Error.Fault = Fault;
  return Error;
}

publish_error errorOf(fault Fault, const platform_error &Cause) {
  publish_error Error = errorOf(Fault);
  Error.Cause = Cause;
  return Error;
}

/// @param IfFailed what a platform without an answer means at this point.
publish_error errorOf(const bundle_read_error &Error, fault IfFailed) {
  if (Error.Cause)
    return errorOf(IfFailed, *Error.Cause);
  return errorOf(fault::DamagedStore);
}

std::uint64_t versionOf(const std::optional<read_record> &Record) {
  return Record ? Record->Record.Head.Version : NoVersion;
}

std::optional<read_record>
recordIn(const std::vector<platform_entry> &Entries) {
  if (Entries.size() != 1)
    return std::nullopt;
  return readRecord(Entries[0]);
}

bool isPlatformFault(const bundle_read_error &Error) {
  return Error.Fault == bundle_read_error::fault::PlatformFailed;
}

} // namespace

std::string publish_error::text() const {
  std::string Text(FaultTexts.at(static_cast<std::size_t>(Fault)));
  if (Winner)
    Text += ": version " + std::to_string(Winner->Version) + " by " +
            Winner->Owner + " (" + Winner->Reason + ")";
  if (NewestVersion != NoVersion)
    Text += "; newest is version " + std::to_string(NewestVersion);
  if (Cause)
    Text += ": " + Cause->text();
  return Text;
}

bundle_publisher::bundle_publisher(platform_store &Store, trusted_owners Owners,
                                   publish_limits Limits)
    : Store(Store), Reader(Store), Owners(std::move(Owners)),
      Limits(std::move(Limits)) {}

result<published_bundle, publish_error>
bundle_publisher::publish(const signed_bundle &Signed) {
  if (const auto Fault = faultOf(Signed))
    return errorOf(*Fault);
  auto Current =
      retried<std::optional<read_record>>([this] { return Reader.record(); });
  if (!Current)
    return errorOf(Current.error(), fault::PlatformFailed);
  if (Signed.Head.Version <= versionOf(Current.value()) + 1)
    return publishAfter(Signed, Current.value());
  // A plain read may be old. Only a transaction tells that versions between are
  // really missing.
  auto Confirmed = confirmed(Current.value());
  if (!Confirmed)
    return Confirmed.error();
  return publishAfter(Signed, Confirmed.value());
}

std::optional<publish_error::fault>
bundle_publisher::faultOf(const signed_bundle &Signed) const {
  if (Signed.Content.digest() != Signed.Head.Digest)
    return fault::DigestMismatch;
  switch (checkSignature(Signed.Head, Owners)) {
  case signature_check::UnknownOwner:
    return fault::UnknownOwner;
  case signature_check::BadSignature:
    return fault::BadSignature;
  case signature_check::Good:
    break;
  }
  return std::nullopt;
}

result<published_bundle, publish_error>
bundle_publisher::publishAfter(const signed_bundle &Signed,
                               const std::optional<read_record> &Current) {
  const std::uint64_t Newest = versionOf(Current);
  if (Signed.Head.Version <= Newest)
    return decideByHistory(Signed, Newest, false);
  if (Signed.Head.Version == Newest + 1)
    return publishOver(Signed, Current);
  publish_error Error = errorOf(fault::VersionNotNext);
  Error.NewestVersion = Newest;
  return Error;
}

result<published_bundle, publish_error>
bundle_publisher::publishOver(const signed_bundle &Signed,
                              const std::optional<read_record> &Current) {
  auto Before = contentOf(Current);
  if (!Before)
    return Before.error();
  const platform_transaction Transaction =
      acceptTransaction(Signed, Current, Before.value());

  bool MayHaveWritten = false;
  std::optional<platform_error> Last;
  for (unsigned Attempt = 0; Attempt < Limits.Attempts; ++Attempt) {
    pauseBefore(Attempt);
    // Sending the same again is safe: after the first effect the compare fails.
    auto Commit = Store.commit(Transaction);
    if (Commit && Commit.value().Succeeded)
      return published_bundle{Signed.Head, false, Signed.Head.Version};
    if (Commit) {
      const auto Winner = recordIn(Commit.value().Entries);
      if (!Winner)
        return errorOf(fault::DamagedStore);
      if (versionOf(Winner) >= Signed.Head.Version)
        return decideByHistory(Signed, versionOf(Winner), MayHaveWritten);
      // The head was rewritten under the same version or set back by hand.
      return errorOf(fault::DamagedStore);
    }
    Last = Commit.error();
    if (Last->Effect == platform_effect::Unknown)
      MayHaveWritten = true;
  }
  return errorOf(MayHaveWritten ? fault::OutcomeUnknown : fault::PlatformFailed,
                 *Last);
}

result<published_bundle, publish_error>
bundle_publisher::decideByHistory(const signed_bundle &Signed,
                                  std::uint64_t NewestVersion,
                                  bool MayHaveWritten) {
  const std::uint64_t Version = Signed.Head.Version;
  for (unsigned Attempt = 0; Attempt < Limits.Attempts; ++Attempt) {
    pauseBefore(Attempt);
    auto Accepted = retried<std::optional<bundle_head>>(
        [&] { return Reader.headOf(Version); });
    if (!Accepted)
      return errorOf(Accepted.error(), MayHaveWritten ? fault::OutcomeUnknown
                                                      : fault::PlatformFailed);
    const auto &Winner = Accepted.value();
    if (Winner && Winner->WriteId == Signed.Head.WriteId)
      return published_bundle{Signed.Head, true, NewestVersion};
    if (Winner || NewestVersion - Version >= MostKeptHeads) {
      publish_error Error = errorOf(fault::Conflict);
      Error.Winner = Winner;
      Error.NewestVersion = NewestVersion;
      return Error;
    }
    // This read is older than the head; ask again.
  }
  publish_error Error = errorOf(fault::OutcomeUnknown);
  Error.NewestVersion = NewestVersion;
  return Error;
}

result<std::optional<bundle>, publish_error>
bundle_publisher::contentOf(const std::optional<read_record> &Current) {
  if (!Current)
    return std::optional<bundle>();
  auto Read =
      retried<signed_bundle>([&] { return Reader.content(Current->Record); });
  if (Read)
    return std::optional(std::move(Read).value().Content);
  if (isPlatformFault(Read.error()))
    return errorOf(Read.error(), fault::PlatformFailed);
  // Damaged content is replaced by the whole of the new one.
  return std::optional<bundle>();
}

result<std::optional<read_record>, publish_error>
bundle_publisher::confirmed(const std::optional<read_record> &Current) {
  platform_transaction Question;
  Question.Compares.push_back(headIs(Current));
  Question.ReadsOnFailure.push_back(bundle_layout::headKey());
  std::optional<platform_error> Last;
  for (unsigned Attempt = 0; Attempt < Limits.Attempts; ++Attempt) {
    pauseBefore(Attempt);
    auto Answer = Store.commit(Question);
    if (!Answer) {
      Last = Answer.error();
      continue;
    }
    if (Answer.value().Succeeded)
      return Current;
    auto Newer = recordIn(Answer.value().Entries);
    if (!Newer)
      return errorOf(fault::DamagedStore);
    return Newer;
  }
  return errorOf(fault::PlatformFailed, *Last);
}

template <class Value>
result<Value, bundle_read_error> bundle_publisher::retried(
    const std::function<result<Value, bundle_read_error>()> &Call) {
  auto Answer = Call();
  for (unsigned Attempt = 1; Attempt < Limits.Attempts; ++Attempt) {
    if (Answer || !isPlatformFault(Answer.error()))
      return Answer;
    pauseBefore(Attempt);
    Answer = Call();
  }
  return Answer;
}

void bundle_publisher::pauseBefore(unsigned Attempt) const {
  if (Attempt > 0 && Limits.Pause)
    Limits.Pause(Attempt);
}

} // namespace clementine
