#include "clementine_bundle/model/bundle_builder.h"

#include "clementine_bundle/model/bundle_content.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace clementine {

namespace {

std::string allowedKeys(section_kind Kind) {
  std::string Keys;
  for (const key_schema &Schema : keySchemas()) {
    if (Schema.Section != Kind)
      continue;
    if (!Keys.empty())
      Keys += ", ";
    Keys += Schema.Key;
  }
  return Keys;
}

std::string allowedHeaders() {
  std::string Headers;
  for (const section_schema &Schema : sectionSchemas()) {
    if (!Headers.empty())
      Headers += ", ";
    Headers += Schema.Header;
  }
  return Headers;
}

bool allowsWildcard(section_kind Kind, std::size_t Position) {
  constexpr std::size_t CallerPosition = 1;
  constexpr std::size_t OperationPosition = 3;
  return Kind == section_kind::Rule &&
         (Position == CallerPosition || Position == OperationPosition);
}

policy_layer layerOf(const section_values &Values, section_index Section) {
  return {Section, Values.Importance, Values.Deadline, Values.RetryBudget, {}};
}

policy_limits limitsOf(const section_values &Values,
                       const policy_limits &Fallback) {
  return {Values.Rate.value_or(Fallback.Rate),
          Values.Concurrency.value_or(Fallback.Concurrency),
          Values.CostRate.value_or(Fallback.CostRate)};
}

bundle_errors tooLarge(std::size_t Size, std::size_t MaxBytes) {
  bundle_error Error;
  Error.Fault = bundle_fault::TextTooLarge;
  Error.Value = std::to_string(Size) + " bytes";
  Error.Allowed = "at most " + std::to_string(MaxBytes) + " bytes";
  return {Error};
}

bool hasLimits(const section_values &Values) {
  return Values.Rate || Values.Concurrency || Values.CostRate;
}

} // namespace

result<bundle, bundle_errors> bundle::parse(std::string_view Text) {
  if (Text.size() > MaxBundleBytes)
    return tooLarge(Text.size(), MaxBundleBytes);
  bundle_builder Builder(Text);
  return Builder.build();
}

bundle_builder::bundle_builder(std::string_view Text)
    : Text(Text), Document(bundle_source::split(Text)), Errors(Document.Errors),
      Content(std::make_shared<bundle::content>()) {}

result<bundle, bundle_errors> bundle_builder::build() {
  if (Document.Sections.size() > MaxBundleSections)
    return bundle_errors{{bundle_fault::TooManySections,
                          0,
                          {},
                          {},
                          std::to_string(Document.Sections.size()),
                          std::to_string(MaxBundleSections)}};
  checkSections();
  checkRequiredSections();
  checkReferences();
  if (!Errors.empty())
    return sortedErrors();
  sortSections();
  if (CanonicalBytes > MaxCanonicalBytes)
    return tooLarge(CanonicalBytes, MaxCanonicalBytes);
  fillDefaults();
  fillServices();
  fillOperations();
  fillCallers();
  fillRules();
  fillParts();
  return bundle(Content);
}

void bundle_builder::report(bundle_fault Fault, const source_section &Section,
                            std::string Allowed) {
  Errors.push_back({Fault,
                    Section.Line,
                    quotedValue(Section.name()),
                    {},
                    {},
                    std::move(Allowed)});
}

void bundle_builder::report(bundle_fault Fault, const source_section &Section,
                            const source_entry &Entry, std::string Allowed) {
  Errors.push_back({Fault, Entry.Line, quotedValue(Section.name()),
                    quotedValue(Entry.Key), quotedValue(Entry.Value),
                    std::move(Allowed)});
}

bundle_errors bundle_builder::sortedErrors() {
  std::stable_sort(Errors.begin(), Errors.end(),
                   [](const bundle_error &Left, const bundle_error &Right) {
                     return Left.Line < Right.Line;
                   });
  if (Errors.size() > MaxBundleErrors) {
    Errors.resize(MaxBundleErrors);
    Errors.push_back({bundle_fault::TooManyErrors, 0, {}, {}, {}, {}});
  }
  return std::move(Errors);
}

void bundle_builder::checkSections() {
  Sections.reserve(Document.Sections.size());
  for (const source_section &Section : Document.Sections)
    checkSection(Section);
}

void bundle_builder::checkSection(const source_section &Section) {
  // A header without a closing bracket has been reported by
  // bundle_source::split().
  if (Section.Words.empty())
    return;
  if (!checkHeader(Section))
    return;
  checked_section Checked;
  Checked.Source = &Section;
  Checked.Schema = findSectionSchema(Section.Words[0]);
  checkEntries(Checked);
  checkRequiredKeys(Checked);
  if (Checked.Schema->Kind == section_kind::Rule)
    checkRuleEntries(Checked);
  Checked.Part.Kind = Checked.Schema->Kind;
  Checked.Part.Name = Section.name();
  Sections.push_back(std::move(Checked));
}

bool bundle_builder::checkHeader(const source_section &Section) {
  const section_schema *Schema = findSectionSchema(Section.Words[0]);
  if (Schema == nullptr || Section.Words.size() != Schema->NameCount + 1) {
    report(bundle_fault::UnknownSection, Section,
           Schema == nullptr ? allowedHeaders() : std::string(Schema->Header));
    return false;
  }
  for (std::size_t Position = 1; Position < Section.Words.size(); ++Position) {
    const std::string_view Name = Section.Words[Position];
    const bool AllowsWildcard = allowsWildcard(Schema->Kind, Position);
    if (isValidName(Name) || (AllowsWildcard && Name == WildcardName))
      continue;
    report(bundle_fault::BadName, Section,
           std::string(AllowedName) + (AllowsWildcard ? "; or *" : ""));
    return false;
  }
  const auto [First, Added] =
      LineOfSection.try_emplace(Section.name(), Section.Line);
  if (Added)
    return true;
  report(bundle_fault::DuplicateSection, Section,
         "one section with this header; the first is on line " +
             std::to_string(First->second));
  return false;
}

void bundle_builder::checkEntries(checked_section &Section) {
  for (const source_entry &Entry : Section.Source->Entries)
    checkEntry(Section, Entry);
}

void bundle_builder::checkEntry(checked_section &Section,
                                const source_entry &Entry) {
  const section_kind Kind = Section.Schema->Kind;
  const key_schema *Schema = findKeySchema(Kind, Entry.Key);
  if (Schema == nullptr) {
    report(bundle_fault::UnknownKey, *Section.Source, Entry, allowedKeys(Kind));
    return;
  }
  const auto &Entries = Section.Source->Entries;
  const auto First = std::find_if(
      Entries.begin(), Entries.end(),
      [&](const source_entry &Other) { return Other.Key == Entry.Key; });
  if (First->Line != Entry.Line) {
    report(bundle_fault::DuplicateKey, *Section.Source, Entry,
           "one value for this key; the first is on line " +
               std::to_string(First->Line));
    return;
  }
  if (!Schema->Store(Entry.Value, Section.Values))
    report(bundle_fault::BadValue, *Section.Source, Entry,
           std::string(Schema->Allowed));
}

void bundle_builder::checkRequiredKeys(const checked_section &Section) {
  const auto &Entries = Section.Source->Entries;
  for (const key_schema &Schema : keySchemas()) {
    if (Schema.Section != Section.Schema->Kind || !Schema.Required)
      continue;
    const bool IsPresent = std::any_of(
        Entries.begin(), Entries.end(),
        [&](const source_entry &Entry) { return Entry.Key == Schema.Key; });
    if (IsPresent)
      continue;
    Errors.push_back({bundle_fault::MissingKey,
                      Section.Source->Line,
                      Section.Source->name(),
                      std::string(Schema.Key),
                      {},
                      std::string(Schema.Allowed)});
  }
}

void bundle_builder::checkRuleEntries(const checked_section &Section) {
  const source_section &Source = *Section.Source;
  if (Source.Entries.empty())
    report(bundle_fault::EmptyRule, Source, allowedKeys(section_kind::Rule));
  const bool NamesCaller = Source.Words[1] != WildcardName;
  if (NamesCaller || !hasLimits(Section.Values))
    return;
  report(bundle_fault::UnknownKey, Source,
         "rate, concurrency and cost only in a rule for a single caller");
}

void bundle_builder::checkRequiredSections() {
  for (const section_schema &Schema : sectionSchemas()) {
    if (!Schema.Required || LineOfSection.contains(std::string(Schema.Keyword)))
      continue;
    Errors.push_back({bundle_fault::MissingSection,
                      0,
                      std::string(Schema.Keyword),
                      {},
                      {},
                      std::string(Schema.Header)});
  }
}

void bundle_builder::checkReferences() {
  for (const checked_section &Section : Sections)
    checkReference(Section);
}

void bundle_builder::checkReference(const checked_section &Section) {
  const auto &Words = Section.Source->Words;
  const auto RequireSection = [&](const std::string &Name) {
    if (!hasSection(Name))
      report(bundle_fault::UnknownReference, *Section.Source,
             "a name defined in a section [" + Name + "]");
  };
  if (Section.Schema->Kind == section_kind::Operation)
    RequireSection("service " + std::string(Words[1]));
  if (Section.Schema->Kind != section_kind::Rule)
    return;
  if (Words[1] != WildcardName)
    RequireSection("caller " + std::string(Words[1]));
  const std::string Service(Words[2]);
  if (Words[3] == WildcardName)
    RequireSection("service " + Service);
  else
    RequireSection("operation " + Service + " " + std::string(Words[3]));
}

bool bundle_builder::hasSection(const std::string &SectionName) const {
  return LineOfSection.contains(SectionName);
}

void bundle_builder::sortSections() {
  std::sort(Sections.begin(), Sections.end(),
            [](const checked_section &Left, const checked_section &Right) {
              return std::tie(Left.Part.Kind, Left.Part.Name) <
                     std::tie(Right.Part.Kind, Right.Part.Name);
            });
  for (checked_section &Section : Sections) {
    Section.Part.Text = Section.Source->canonicalText();
    Section.Part.Digest = sha256(Section.Part.Text);
    CanonicalBytes += Section.Part.Text.size();
  }
}

void bundle_builder::fillDefaults() {
  for (section_index Index = 0; Index < Sections.size(); ++Index) {
    const checked_section &Section = Sections[Index];
    if (Section.Schema->Kind == section_kind::Bundle)
      Content->Name = *Section.Values.Name;
    if (Section.Schema->Kind != section_kind::Defaults)
      continue;
    Defaults = Section.Values;
    Content->Defaults = layerOf(Defaults, Index);
  }
}

void bundle_builder::fillServices() {
  for (const checked_section &Section : Sections)
    if (Section.Schema->Kind == section_kind::Service)
      Content->Services.emplace_back(Section.Source->Words[1]);
  for (std::uint32_t Index = 0; Index < Content->Services.size(); ++Index)
    Content->ServiceByName.emplace(Content->Services[Index], Index);
}

void bundle_builder::fillOperations() {
  for (section_index Index = 0; Index < Sections.size(); ++Index) {
    const checked_section &Section = Sections[Index];
    if (Section.Schema->Kind != section_kind::Operation)
      continue;
    const auto &Words = Section.Source->Words;
    const section_values &Values = Section.Values;
    const operation_policy Fallback;
    Content->Operations.push_back(
        {std::string(Words[1]), std::string(Words[2]), *Values.Repeatable,
         Values.Cost.value_or(Fallback.Cost),
         Values.Deadline.value_or(
             Defaults.Deadline.value_or(Fallback.Deadline)),
         Index});
    Content->OperationLayers.push_back(
        {layerOf(Values, Index), Content->ServiceByName.at(Words[1]),
         Values.Cost ? Index : BuiltIn, NoRule, NoRule});
  }
  for (std::uint32_t Index = 0; Index < Content->Operations.size(); ++Index) {
    const operation_entry &Entry = Content->Operations[Index];
    Content->OperationByName.emplace(operation_name{Entry.Service, Entry.Name},
                                     Index);
  }
}

void bundle_builder::fillCallers() {
  const operation_policy Fallback;
  const policy_limits DefaultLimits = limitsOf(Defaults, {});
  for (section_index Index = 0; Index < Sections.size(); ++Index) {
    const checked_section &Section = Sections[Index];
    if (Section.Schema->Kind != section_kind::Caller)
      continue;
    const section_values &Values = Section.Values;
    Content->Callers.push_back(
        {std::string(Section.Source->Words[1]), *Values.Owner,
         Values.Importance.value_or(
             Defaults.Importance.value_or(Fallback.Importance)),
         Values.RetryBudget.value_or(
             Defaults.RetryBudget.value_or(Fallback.RetryBudget)),
         limitsOf(Values, DefaultLimits), Index});
    Content->CallerLayers.push_back({layerOf(Values, Index), false});
  }
  for (std::uint32_t Index = 0; Index < Content->Callers.size(); ++Index)
    Content->CallerByName.emplace(Content->Callers[Index].Name, Index);
}

void bundle_builder::fillRules() {
  for (section_index Index = 0; Index < Sections.size(); ++Index)
    if (Sections[Index].Schema->Kind == section_kind::Rule)
      fillRule(Sections[Index], Index);
}

void bundle_builder::fillRule(const checked_section &Section,
                              section_index Index) {
  const auto &Words = Section.Source->Words;
  const auto RuleIndex = static_cast<std::uint32_t>(Content->Rules.size());
  policy_layer Layer = layerOf(Section.Values, Index);
  if (hasLimits(Section.Values))
    Layer.Limits = limitsOf(Section.Values, {});
  Content->Rules.push_back(Layer);

  const bool AnyOperation = Words[3] == WildcardName;
  const std::uint32_t Service = Content->ServiceByName.at(Words[2]);
  if (Words[1] != WildcardName) {
    const std::uint32_t Caller = Content->CallerByName.at(Words[1]);
    Content->CallerLayers[Caller].HasRules = true;
    const std::uint64_t Key =
        AnyOperation
            ? bundle::content::serviceKey(Caller, Service)
            : bundle::content::operationKey(
                  Caller, Content->OperationByName.at({Words[2], Words[3]}));
    Content->RuleByCall.emplace(Key, RuleIndex);
    return;
  }
  if (!AnyOperation) {
    const auto Operation = Content->OperationByName.at({Words[2], Words[3]});
    Content->OperationLayers[Operation].AnyCaller = RuleIndex;
    return;
  }
  for (auto &Operation : Content->OperationLayers)
    if (Operation.Service == Service)
      Operation.AnyCallerAnyOperation = RuleIndex;
}

void bundle_builder::fillParts() {
  std::string Digests;
  Content->Parts.reserve(Sections.size());
  for (checked_section &Section : Sections) {
    Digests += Section.Part.Digest.bytes();
    Content->Parts.push_back(std::move(Section.Part));
  }
  Content->Digest = sha256(Digests);
}

} // namespace clementine
