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
    "the content does not match the signed digest",
    "the bundle data in the platform is damaged",
    "the platform failed before the write; this call changed nothing",
    "the platform failed after the write was sent; it may be accepted",
};

publish_error makeError(fault Fault) {
  publish_error Error;
  Error.Fault = Fault;
  return Error;
}

publish_error makeError(fault Fault, const platform_error &Cause) {
  publish_error Error = makeError(Fault);
  Error.Cause = Cause;
  return Error;
}

/// @param PlatformFault the fault to report if the platform failed.
publish_error makeError(const bundle_read_error &Error, fault PlatformFault) {
  if (Error.Cause)
    return makeError(PlatformFault, *Error.Cause);
  return makeError(fault::DamagedStore);
}

std::uint64_t versionOf(const std::optional<read_record> &Record) {
  return Record ? Record->Record.Head.Version : NoVersion;
}

std::optional<read_record>
recordFrom(const std::vector<platform_entry> &Entries) {
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
                                   publish_retry_policy RetryPolicy)
    : Store(Store), Reader(Store), Owners(std::move(Owners)),
      RetryPolicy(std::move(RetryPolicy)) {}

result<published_bundle, publish_error>
bundle_publisher::publish(const signed_bundle &Signed) {
  if (const auto Fault = validate(Signed))
    return makeError(*Fault);
  auto Current = withRetries<std::optional<read_record>>(
      [this] { return Reader.record(); });
  if (!Current)
    return makeError(Current.error(), fault::PlatformFailed);
  if (Signed.Head.Version <= versionOf(Current.value()) + 1)
    return publishWithRecord(Signed, Current.value());
  // A plain read may be stale. Only a transaction confirms that the versions in
  // between have not been accepted.
  auto Confirmed = confirmRecord(Current.value());
  if (!Confirmed)
    return Confirmed.error();
  return publishWithRecord(Signed, Confirmed.value());
}

std::optional<publish_error::fault>
bundle_publisher::validate(const signed_bundle &Signed) const {
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
bundle_publisher::publishWithRecord(const signed_bundle &Signed,
                                    const std::optional<read_record> &Current) {
  const std::uint64_t Newest = versionOf(Current);
  if (Signed.Head.Version <= Newest)
    return resolveFromHistory(Signed, Newest, false);
  if (Signed.Head.Version == Newest + 1)
    return commitNext(Signed, Current);
  publish_error Error = makeError(fault::VersionNotNext);
  Error.NewestVersion = Newest;
  return Error;
}

result<published_bundle, publish_error>
bundle_publisher::commitNext(const signed_bundle &Signed,
                             const std::optional<read_record> &Current) {
  auto Before = contentOf(Current);
  if (!Before)
    return Before.error();
  const platform_transaction Transaction =
      acceptTransaction(Signed, Current, Before.value());

  bool MayHaveWritten = false;
  std::optional<platform_error> Last;
  for (unsigned Attempt = 0; Attempt < RetryPolicy.MaxAttempts; ++Attempt) {
    backOffBefore(Attempt);
    // Retrying is safe: once the write has taken effect, the compare fails.
    auto Commit = Store.commit(Transaction);
    if (Commit && Commit.value().Succeeded)
      return published_bundle{Signed.Head, false, Signed.Head.Version};
    if (Commit) {
      const auto Winner = recordFrom(Commit.value().Entries);
      if (!Winner)
        return makeError(fault::DamagedStore);
      if (versionOf(Winner) >= Signed.Head.Version)
        return resolveFromHistory(Signed, versionOf(Winner), MayHaveWritten);
      // The head was rewritten with the same version or set back manually.
      return makeError(fault::DamagedStore);
    }
    Last = Commit.error();
    if (Last->Effect == platform_effect::Unknown)
      MayHaveWritten = true;
  }
  return makeError(
      MayHaveWritten ? fault::OutcomeUnknown : fault::PlatformFailed, *Last);
}

result<published_bundle, publish_error>
bundle_publisher::resolveFromHistory(const signed_bundle &Signed,
                                     std::uint64_t NewestVersion,
                                     bool MayHaveWritten) {
  const std::uint64_t Version = Signed.Head.Version;
  for (unsigned Attempt = 0; Attempt < RetryPolicy.MaxAttempts; ++Attempt) {
    backOffBefore(Attempt);
    auto Accepted = withRetries<std::optional<bundle_head>>(
        [&] { return Reader.headOf(Version); });
    if (!Accepted)
      return makeError(Accepted.error(), MayHaveWritten
                                             ? fault::OutcomeUnknown
                                             : fault::PlatformFailed);
    const auto &Winner = Accepted.value();
    if (Winner && Winner->WriteId == Signed.Head.WriteId)
      return published_bundle{Signed.Head, true, NewestVersion};
    if (Winner || NewestVersion - Version >= MaxKeptHeads) {
      publish_error Error = makeError(fault::Conflict);
      Error.Winner = Winner;
      Error.NewestVersion = NewestVersion;
      return Error;
    }
    // The read is older than the head; retry.
  }
  publish_error Error = makeError(fault::OutcomeUnknown);
  Error.NewestVersion = NewestVersion;
  return Error;
}

result<std::optional<bundle>, publish_error>
bundle_publisher::contentOf(const std::optional<read_record> &Current) {
  if (!Current)
    return std::optional<bundle>();
  auto Read = withRetries<signed_bundle>(
      [&] { return Reader.content(Current->Record); });
  if (Read)
    return std::optional(std::move(Read).value().Content);
  if (isPlatformFault(Read.error()))
    return makeError(Read.error(), fault::PlatformFailed);
  // Damaged content is superseded by the full new content.
  return std::optional<bundle>();
}

result<std::optional<read_record>, publish_error>
bundle_publisher::confirmRecord(const std::optional<read_record> &Current) {
  platform_transaction Confirmation;
  Confirmation.Compares.push_back(compareHeadWith(Current));
  Confirmation.ReadsOnFailure.push_back(bundle_layout::headKey());
  std::optional<platform_error> Last;
  for (unsigned Attempt = 0; Attempt < RetryPolicy.MaxAttempts; ++Attempt) {
    backOffBefore(Attempt);
    auto Answer = Store.commit(Confirmation);
    if (!Answer) {
      Last = Answer.error();
      continue;
    }
    if (Answer.value().Succeeded)
      return Current;
    auto Newer = recordFrom(Answer.value().Entries);
    if (!Newer)
      return makeError(fault::DamagedStore);
    return Newer;
  }
  return makeError(fault::PlatformFailed, *Last);
}

template <class Value>
result<Value, bundle_read_error> bundle_publisher::withRetries(
    const std::function<result<Value, bundle_read_error>()> &Call) {
  auto Answer = Call();
  for (unsigned Attempt = 1; Attempt < RetryPolicy.MaxAttempts; ++Attempt) {
    if (Answer || !isPlatformFault(Answer.error()))
      return Answer;
    backOffBefore(Attempt);
    Answer = Call();
  }
  return Answer;
}

void bundle_publisher::backOffBefore(unsigned Attempt) const {
  if (Attempt > 0 && RetryPolicy.Backoff)
    RetryPolicy.Backoff(Attempt);
}

} // namespace clementine
