#include <doctest/doctest.h>

#include "clementine_bundle/clementine_bundle.h"

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view Sample = R"(; A comment.
[bundle]
format = 1
name = takamori

[defaults]
deadline = 1500ms
retry_budget = 1

[service crematory-desk]
[operation crematory-desk reserve]
repeatable = no
cost = 5
[operation crematory-desk look-up]
repeatable = yes

[caller temple-front]
owner = temple-liaison
rate = 200/s
importance = low
[caller night-phone]
owner = night-desk

[rule * crematory-desk *]
importance = high
[rule * crematory-desk reserve]
importance = critical
[rule temple-front crematory-desk *]
retry_budget = 4
[rule temple-front crematory-desk reserve]
importance = normal
rate = 10/s
)";

bundle parsed(std::string_view Text) {
  auto Parsed = bundle::parse(Text);
  REQUIRE(Parsed.has_value());
  return Parsed.value();
}

bundle_errors errorsOf(std::string_view Text) {
  auto Parsed = bundle::parse(Text);
  REQUIRE_FALSE(Parsed.has_value());
  return Parsed.error();
}

} // namespace

TEST_CASE("each value is taken from the most specific section that sets it") {
  const bundle Bundle = parsed(Sample);
  const auto Temple =
      Bundle.decide("temple-front", "crematory-desk", "reserve");
  REQUIRE(Temple.has_value());
  const operation_policy Policy = Temple.value();
  CHECK(Policy.Importance == importance::Normal);
  CHECK(Bundle.sectionName(Policy.Sources.Importance) ==
        "rule temple-front crematory-desk reserve");
  CHECK(Policy.RetryBudget == 4);
  CHECK(Bundle.sectionName(Policy.Sources.RetryBudget) ==
        "rule temple-front crematory-desk *");
  CHECK_FALSE(Policy.Repeatable);
  CHECK(Policy.Cost == 5);
  CHECK(Policy.Deadline == 1500ms);
  CHECK(Bundle.sectionName(Policy.Sources.Deadline) == "defaults");
  CHECK(Policy.Limits.Rate == 200);
  CHECK(Policy.OperationLimits.Rate == 10);

  const auto Night =
      Bundle.decide("night-phone", "crematory-desk", "look-up").value();
  CHECK(Night.Importance == importance::High);
  CHECK(Night.Repeatable);
  CHECK(Night.RetryBudget == 1);
  CHECK(Night.Limits == policy_limits{});
  CHECK(Bundle.sectionName(Night.Sources.Cost) == "built-in");
  CHECK(Bundle.decide("night-phone", "crematory-desk", "reserve")
            .value()
            .Importance == importance::Critical);
}

TEST_CASE("unknown callers, services and operations give distinct errors") {
  const bundle Bundle = parsed(Sample);
  CHECK(Bundle.decide("nobody", "crematory-desk", "reserve").error() ==
        policy_error::UnknownCaller);
  CHECK(Bundle.decide("night-phone", "nowhere", "reserve").error() ==
        policy_error::UnknownService);
  CHECK(Bundle.decide("night-phone", "crematory-desk", "erase").error() ==
        policy_error::UnknownOperation);
}

TEST_CASE(
    "the canonical text is stable and independent of order and comments") {
  const bundle Bundle = parsed(Sample);
  const bundle Again = parsed(Bundle.text());
  CHECK(Again == Bundle);
  CHECK(Again.text() == Bundle.text());
  std::string Other(Sample);
  Other.replace(Other.find("1500ms"), 6, "1600ms");
  CHECK_FALSE(parsed(Other) == Bundle);
}

TEST_CASE(
    "all errors are reported together with line, section, key and value") {
  const bundle_errors Errors = errorsOf("lost = 1\n"         // 1
                                        "[bundle]\n"         // 2
                                        "format = 2\n"       // 3
                                        "name = a b\n"       // 4
                                        "colour = red\n"     // 5
                                        "[caller x]\n"       // 6
                                        "rate = 5\n"         // 7
                                        "rate = 6/s\n"       // 8
                                        "nonsense\n"         // 9
                                        "[caller x]\n"       // 10
                                        "[caller -]\n"       // 11
                                        "[caller\n"          // 12
                                        "[operation s o]\n"  // 13
                                        "repeatable = may\n" // 14
                                        "[rule * s o]\n"     // 15
                                        "rate = 1/s\n"       // 16
                                        "[rule x s p]\n"     // 17
                                        "[zone x]\n");       // 18
  const auto Has = [&](bundle_fault Fault, std::uint32_t Line) {
    return std::any_of(Errors.begin(), Errors.end(), [&](const auto &Error) {
      return Error.Fault == Fault && Error.Line == Line;
    });
  };
  CHECK(Has(bundle_fault::KeyOutsideSection, 1));
  CHECK(Has(bundle_fault::BadValue, 3));
  CHECK(Has(bundle_fault::BadValue, 4));
  CHECK(Has(bundle_fault::UnknownKey, 5));
  CHECK(Has(bundle_fault::MissingKey, 6));
  CHECK(Has(bundle_fault::BadValue, 7));
  CHECK(Has(bundle_fault::DuplicateKey, 8));
  CHECK(Has(bundle_fault::MalformedLine, 9));
  CHECK(Has(bundle_fault::DuplicateSection, 10));
  CHECK(Has(bundle_fault::BadName, 11));
  CHECK(Has(bundle_fault::MalformedLine, 12));
  CHECK(Has(bundle_fault::UnknownReference, 13));
  CHECK(Has(bundle_fault::BadValue, 14));
  CHECK(Has(bundle_fault::UnknownKey, 15));
  CHECK(Has(bundle_fault::EmptyRule, 17));
  CHECK(Has(bundle_fault::UnknownReference, 17));
  CHECK(Has(bundle_fault::UnknownSection, 18));
  CHECK(Errors.size() == 17);
  CHECK(Errors[4].text() == "line 6: [caller x] owner: missing key; allowed: " +
                                std::string(AllowedName));
  CHECK(errorsOf("").front().Fault == bundle_fault::MissingSection);
}

TEST_CASE("the limits on size, sections and reported errors are enforced") {
  const std::string Large(MaxBundleBytes + 1, ';');
  CHECK(errorsOf(Large).front().Fault == bundle_fault::TextTooLarge);
  std::string Many;
  for (std::size_t Count = 0; Count <= MaxBundleSections; ++Count)
    Many += "[a]\n";
  CHECK(errorsOf(Many).front().Fault == bundle_fault::TooManySections);
  std::string Wrong;
  for (std::size_t Count = 0; Count < 2 * MaxBundleErrors; ++Count)
    Wrong += "x\n";
  CHECK(errorsOf(Wrong).size() == MaxBundleErrors + 1);
}

TEST_CASE("docs/BUNDLE.md lists exactly the sections and keys of the code") {
  std::ifstream File(CLEMENTINE_SOURCE_DIR "/docs/BUNDLE.md");
  std::stringstream Page;
  Page << File.rdbuf();
  std::size_t Rows = 0;
  for (const section_schema &Section : sectionSchemas()) {
    const std::string Heading = "### `" + std::string(Section.Header) + "`";
    INFO(Heading);
    CHECK(Page.str().find(Heading) != std::string::npos);
  }
  for (const key_schema &Key : keySchemas()) {
    const std::string Row = "| `" + std::string(Key.Key) + "` | " +
                            std::string(Key.Allowed) + " | " +
                            std::string(Key.Default) + " | " +
                            std::string(Key.Meaning) + " |";
    INFO(Row);
    CHECK(Page.str().find(Row) != std::string::npos);
  }
  for (std::string Line; std::getline(Page, Line);)
    Rows += Line.starts_with("| `") ? 1 : 0;
  CHECK(Rows == keySchemas().size());
}
