#include "clementine_bundle/accept/bundle_reader.h"

#include "clementine_bundle/spread/update_chain.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace clementine {

namespace {

using fault = bundle_read_error::fault;

constexpr std::array<std::string_view, 5> FaultTexts = {
    "the platform call failed",
    "the accepted head in the platform is damaged",
    "the accepted content in the platform is damaged or no longer kept",
    "the accepted head is not signed by a trusted owner",
    "this version was never accepted or is no longer kept",
};

constexpr std::uint64_t AnyVersion = std::numeric_limits<std::uint64_t>::max();

bundle_read_error platformFailure(const platform_error &Cause) {
  return {fault::PlatformFailed, Cause};
}

bundle_read_error makeError(fault Fault) { return {Fault, std::nullopt}; }

} // namespace

std::string bundle_read_error::text() const {
  std::string Text(FaultTexts.at(static_cast<std::size_t>(Fault)));
  if (Cause)
    Text += ": " + Cause->text();
  return Text;
}

std::optional<read_record> readRecord(const platform_entry &Entry) {
  auto Record = decodeRecord(Entry.Value);
  if (!Record || Record.value().Epochs.empty())
    return std::nullopt;
  return read_record{std::move(Record).value(), Entry.ModRevision};
}

platform_compare compareHeadWith(const std::optional<read_record> &Current) {
  return {bundle_layout::headKey(), platform_compare::field::ModRevision,
          platform_compare::relation::Equal,
          Current ? Current->ModRevision : 0};
}

bundle_reader::bundle_reader(platform_store &Store) : Store(Store) {}

result<std::optional<read_record>, bundle_read_error> bundle_reader::record() {
  auto Read = Store.get(bundle_layout::headKey());
  if (!Read)
    return platformFailure(Read.error());
  if (!Read.value())
    return std::optional<read_record>();
  auto Record = readRecord(*Read.value());
  if (!Record)
    return makeError(fault::DamagedHead);
  return Record;
}

result<std::optional<bundle_update>, bundle_read_error>
bundle_reader::updateAfter(std::uint64_t HaveVersion) {
  auto Newest = record();
  if (!Newest)
    return Newest.error();
  if (!Newest.value() || Newest.value()->Record.Head.Version <= HaveVersion)
    return std::optional<bundle_update>();
  const std::uint64_t Epoch = Newest.value()->Record.Epochs.back();
  auto Listed = Store.list(bundle_layout::epochPrefix(Epoch));
  if (!Listed)
    return platformFailure(Listed.error());
  const auto Updates = decodeUpdates(Listed.value().Entries);
  auto Joined = joinUpdates(Updates, HaveVersion, AnyVersion);
  if (!Joined)
    Joined = joinUpdates(Updates, NoVersion, AnyVersion);
  // A stale list may end before the head that was just read.
  if (!Joined || Joined->Head.Version <= HaveVersion)
    return makeError(fault::DamagedContent);
  return Joined;
}

result<std::optional<signed_bundle>, bundle_read_error>
bundle_reader::newest(const trusted_owners &Owners) {
  auto Newest = record();
  if (!Newest)
    return Newest.error();
  if (!Newest.value())
    return std::optional<signed_bundle>();
  const accepted_record &Record = Newest.value()->Record;
  if (checkSignature(Record.Head, Owners) != signature_check::Good)
    return makeError(fault::NotTrusted);
  auto Read = content(Record);
  if (!Read)
    return Read.error();
  return std::optional(std::move(Read).value());
}

result<signed_bundle, bundle_read_error>
bundle_reader::content(const accepted_record &Record,
                       std::optional<std::uint64_t> Version) {
  const std::uint64_t Wanted = Version.value_or(Record.Head.Version);
  const auto After =
      std::upper_bound(Record.Epochs.begin(), Record.Epochs.end(), Wanted);
  if (After == Record.Epochs.begin() || Wanted > Record.Head.Version)
    return makeError(fault::NoSuchVersion);
  auto Listed = Store.list(bundle_layout::epochPrefix(*std::prev(After)));
  if (!Listed)
    return platformFailure(Listed.error());

  const auto Updates = decodeUpdates(Listed.value().Entries);
  const auto Joined = joinUpdates(Updates, NoVersion, Wanted);
  if (!Joined || Joined->Head.Version != Wanted)
    return makeError(fault::DamagedContent);
  auto Content = applyDelta(std::nullopt, Joined->Delta);
  if (!Content || Content.value().digest() != Joined->Head.Digest)
    return makeError(fault::DamagedContent);
  return signed_bundle{Joined->Head, std::move(Content).value()};
}

result<std::optional<bundle_head>, bundle_read_error>
bundle_reader::headOf(std::uint64_t Version) {
  auto Read = Store.get(bundle_layout::historyKey(Version));
  if (!Read)
    return platformFailure(Read.error());
  if (!Read.value())
    return std::optional<bundle_head>();
  auto Head = decodeHead(Read.value()->Value);
  if (!Head)
    return makeError(fault::DamagedHead);
  return std::optional(std::move(Head).value());
}

result<std::vector<bundle_head>, bundle_read_error> bundle_reader::history() {
  auto Listed = Store.list(bundle_layout::historyPrefix());
  if (!Listed)
    return platformFailure(Listed.error());
  std::vector<bundle_head> Heads;
  for (const platform_entry &Entry : Listed.value().Entries) {
    auto Head = decodeHead(Entry.Value);
    if (!Head)
      return makeError(fault::DamagedHead);
    Heads.push_back(std::move(Head).value());
  }
  return Heads;
}

} // namespace clementine
