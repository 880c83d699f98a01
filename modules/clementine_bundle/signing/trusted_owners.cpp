#include "clementine_bundle/signing/trusted_owners.h"

#include "clementine_bundle/format/bundle_keys.h"
#include "clementine_bundle/format/bundle_source.h"

#include <algorithm>
#include <utility>

namespace clementine {

namespace {

constexpr std::string_view OwnerKeyword = "owner";
constexpr std::string_view PublicKeyName = "public_key";
constexpr std::string_view PrivateKeyName = "private_key";
constexpr std::string_view AllowedKeyText = "64 hexadecimal digits";

bundle_error errorIn(bundle_fault Fault, const source_section &Section,
                     std::string Allowed) {
  return {Fault, Section.Line, quotedValue(Section.name()),
          {},    {},           std::move(Allowed)};
}

/// Checks that a section is `[owner NAME]` with the single key @p Key, and
/// passes its name and value to @p HandleValue, which returns whether the value
/// is allowed.
template <class ValueHandler>
void readOwner(const source_section &Section, std::string_view Key,
               bundle_errors &Errors, ValueHandler HandleValue) {
  if (Section.Words.empty())
    return;
  if (Section.Words[0] != OwnerKeyword || Section.Words.size() != 2) {
    Errors.push_back(
        errorIn(bundle_fault::UnknownSection, Section, "[owner NAME]"));
    return;
  }
  if (!isValidName(Section.Words[1])) {
    Errors.push_back(
        errorIn(bundle_fault::BadName, Section, std::string(AllowedName)));
    return;
  }
  if (Section.Entries.size() != 1 || Section.Entries[0].Key != Key) {
    Errors.push_back(
        errorIn(bundle_fault::UnknownKey, Section, "only " + std::string(Key)));
    return;
  }
  // A private key must never appear in an error, so the value is omitted.
  if (!HandleValue(std::string(Section.Words[1]), Section.Entries[0].Value))
    Errors.push_back({bundle_fault::BadValue,
                      Section.Entries[0].Line,
                      Section.name(),
                      std::string(Key),
                      {},
                      std::string(AllowedKeyText)});
}

std::string ownerText(const std::string &Owner, std::string_view Key,
                      const std::string &Value) {
  return "[owner " + Owner + "]\n" + std::string(Key) + " = " + Value + "\n";
}

} // namespace

result<trusted_owners, bundle_errors>
trusted_owners::parse(std::string_view Text) {
  const bundle_source Document = bundle_source::split(Text);
  bundle_errors Errors = Document.Errors;
  if (Document.Sections.size() > MaxTrustedOwners)
    return bundle_errors{{bundle_fault::TooManySections,
                          0,
                          {},
                          {},
                          std::to_string(Document.Sections.size()),
                          std::to_string(MaxTrustedOwners)}};
  trusted_owners Owners;
  for (const source_section &Section : Document.Sections)
    readOwner(Section, PublicKeyName, Errors,
              [&](std::string Owner, std::string_view Value) {
                verification_key Key;
                if (!verification_key::parse(Value, Key))
                  return false;
                if (Owners.find(Owner) != nullptr)
                  Errors.push_back(errorIn(bundle_fault::DuplicateSection,
                                           Section,
                                           "one section for each owner"));
                Owners.add(std::move(Owner), Key);
                return true;
              });
  if (!Errors.empty())
    return Errors;
  return Owners;
}

void trusted_owners::add(std::string Owner, const verification_key &Key) {
  Keys.insert_or_assign(std::move(Owner), Key);
}

const verification_key *trusted_owners::find(std::string_view Owner) const {
  const auto Found = Keys.find(Owner);
  return Found == Keys.end() ? nullptr : &Found->second;
}

std::string trusted_owners::text() const {
  std::string Text;
  for (const auto &[Owner, Key] : Keys)
    Text += ownerText(Owner, PublicKeyName, Key.text());
  return Text;
}

result<owner_key, bundle_errors> owner_key::parse(std::string_view Text) {
  const bundle_source Document = bundle_source::split(Text);
  bundle_errors Errors = Document.Errors;
  // A malformed line may contain the private key.
  for (bundle_error &Error : Errors)
    Error.Value.clear();
  owner_key Read;
  for (const source_section &Section : Document.Sections)
    readOwner(Section, PrivateKeyName, Errors,
              [&](std::string Owner, std::string_view Value) {
                Read.Owner = std::move(Owner);
                return signing_key::parse(Value, Read.Key);
              });
  if (Document.Sections.size() != 1)
    Errors.push_back({bundle_fault::MissingSection,
                      0,
                      {},
                      {},
                      {},
                      "exactly one [owner NAME]"});
  if (!Errors.empty())
    return Errors;
  return Read;
}

std::string owner_key::privateText() const {
  return ownerText(Owner, PrivateKeyName, Key.privateText());
}

std::string owner_key::publicText() const {
  return ownerText(Owner, PublicKeyName, Key.publicKey().text());
}

} // namespace clementine
