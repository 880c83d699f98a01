#ifndef CLEMENTINE_BUNDLE_MODEL_BUNDLE_BUILDER_H
#define CLEMENTINE_BUNDLE_MODEL_BUNDLE_BUILDER_H

#include "clementine_bundle/format/bundle_source.h"
#include "clementine_bundle/model/bundle.h"

#include <unordered_map>
#include <vector>

namespace clementine {

/// Splits a text, validates it section by section, then builds the bundle's
/// lookup tables.
/// Used once by bundle::parse(); not copyable.
class bundle_builder {
public:
  explicit bundle_builder(std::string_view Text);

  bundle_builder(const bundle_builder &) = delete;
  bundle_builder &operator=(const bundle_builder &) = delete;

  /// @returns the bundle, or all errors in the order of their lines.
  result<bundle, bundle_errors> build();

private:
  /// A section with a valid header.
  struct checked_section {
    const source_section *Source = nullptr;
    const section_schema *Schema = nullptr;
    section_values Values;
    bundle_part Part;
  };

  void report(bundle_fault Fault, const source_section &Section,
              std::string Allowed);
  void report(bundle_fault Fault, const source_section &Section,
              const source_entry &Entry, std::string Allowed);
  bundle_errors sortedErrors();

  void checkSections();
  void checkSection(const source_section &Section);
  bool checkHeader(const source_section &Section);
  void checkEntries(checked_section &Section);
  void checkEntry(checked_section &Section, const source_entry &Entry);
  void checkRequiredKeys(const checked_section &Section);
  void checkRequiredSections();
  void checkRuleEntries(const checked_section &Section);
  void checkReferences();
  void checkReference(const checked_section &Section);
  bool hasSection(const std::string &SectionName) const;

  void sortSections();
  void fillDefaults();
  void fillServices();
  void fillOperations();
  void fillCallers();
  void fillRules();
  void fillRule(const checked_section &Section, section_index Index);
  void fillParts();

  const std::string_view Text;
  const bundle_source Document;
  bundle_errors Errors;
  std::vector<checked_section> Sections;
  /// The line of the first section with each valid header.
  std::unordered_map<std::string, std::uint32_t> LineOfSection;
  std::size_t CanonicalBytes = 0;
  section_values Defaults;
  std::shared_ptr<bundle::content> Content;
};

} // namespace clementine

#endif
