#include "clementine_bundle/format/bundle_keys.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace clementine {

namespace {

constexpr std::size_t MaxNameBytes = 64;
constexpr std::uint32_t SupportedFormat = 1;
constexpr std::uint32_t MaxRetries = 100;
constexpr std::uint32_t MaxConcurrency = 1'000'000;
constexpr std::chrono::milliseconds MinDeadline{1};
constexpr std::chrono::milliseconds MaxDeadline{600'000};
constexpr double MinCost = 0.001;
constexpr double MaxCost = 1'000'000;
constexpr double MinRate = 0.001;
constexpr double MaxRate = 1'000'000'000;
constexpr std::string_view Unlimited = "unlimited";

bool isLetterOrDigit(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9');
}

template <class Number> bool readNumber(std::string_view Text, Number &Value) {
  const char *End = Text.data() + Text.size();
  // from_chars also accepts "inf", "nan" and signs, which no key allows.
  if (Text.empty() || Text.front() < '0' || Text.front() > '9')
    return false;
  const auto Read = std::from_chars(Text.data(), End, Value);
  return Read.ec == std::errc() && Read.ptr == End;
}

template <class Number>
bool readRange(std::string_view Text, Number Min, Number Max,
               std::optional<Number> &Value) {
  Number Read{};
  if (!readNumber(Text, Read) || Read < Min || Read > Max)
    return false;
  Value = Read;
  return true;
}

bool readFormat(std::string_view Text, std::optional<std::uint32_t> &Value) {
  return readRange(Text, SupportedFormat, SupportedFormat, Value);
}

bool readName(std::string_view Text, std::optional<std::string> &Value) {
  if (!isValidName(Text))
    return false;
  Value = std::string(Text);
  return true;
}

bool readImportance(std::string_view Text, std::optional<importance> &Value) {
  importance Level{};
  if (!parseImportance(Text, Level))
    return false;
  Value = Level;
  return true;
}

bool readYesNo(std::string_view Text, std::optional<bool> &Value) {
  if (Text != "yes" && Text != "no")
    return false;
  Value = Text == "yes";
  return true;
}

bool readCost(std::string_view Text, std::optional<double> &Value) {
  return readRange(Text, MinCost, MaxCost, Value);
}

bool readDeadline(std::string_view Text,
                  std::optional<std::chrono::milliseconds> &Value) {
  if (!Text.ends_with("ms"))
    return false;
  std::optional<std::uint32_t> Milliseconds;
  if (!readRange<std::uint32_t>(Text.substr(0, Text.size() - 2),
                                static_cast<std::uint32_t>(MinDeadline.count()),
                                static_cast<std::uint32_t>(MaxDeadline.count()),
                                Milliseconds))
    return false;
  Value = std::chrono::milliseconds(*Milliseconds);
  return true;
}

bool readRetryBudget(std::string_view Text,
                     std::optional<std::uint32_t> &Value) {
  return readRange<std::uint32_t>(Text, 0, MaxRetries, Value);
}

bool readRate(std::string_view Text, std::optional<double> &Value) {
  if (Text == Unlimited) {
    Value = UnlimitedRate;
    return true;
  }
  if (!Text.ends_with("/s"))
    return false;
  return readRange(Text.substr(0, Text.size() - 2), MinRate, MaxRate, Value);
}

bool readConcurrency(std::string_view Text,
                     std::optional<std::uint32_t> &Value) {
  if (Text == Unlimited) {
    Value = UnlimitedConcurrency;
    return true;
  }
  return readRange<std::uint32_t>(Text, 1, MaxConcurrency, Value);
}

template <auto Member, auto Read>
bool store(std::string_view Text, section_values &Values) {
  return Read(Text, Values.*Member);
}

constexpr auto StoreFormat = store<&section_values::Format, readFormat>;
constexpr auto StoreName = store<&section_values::Name, readName>;
constexpr auto StoreOwner = store<&section_values::Owner, readName>;
constexpr auto StoreImportance =
    store<&section_values::Importance, readImportance>;
constexpr auto StoreRepeatable = store<&section_values::Repeatable, readYesNo>;
constexpr auto StoreCost = store<&section_values::Cost, readCost>;
constexpr auto StoreDeadline = store<&section_values::Deadline, readDeadline>;
constexpr auto StoreRetryBudget =
    store<&section_values::RetryBudget, readRetryBudget>;
constexpr auto StoreRate = store<&section_values::Rate, readRate>;
constexpr auto StoreConcurrency =
    store<&section_values::Concurrency, readConcurrency>;
constexpr auto StoreCostRate = store<&section_values::CostRate, readRate>;

constexpr std::array<section_schema, 6> SectionSchemas = {{
    {section_kind::Bundle, "bundle", 0, true, "[bundle]",
     "what this bundle is"},
    {section_kind::Defaults, "defaults", 0, false, "[defaults]",
     "what holds where nothing else is said"},
    {section_kind::Service, "service", 1, false, "[service SERVICE]",
     "a service that callers may name"},
    {section_kind::Operation, "operation", 2, false,
     "[operation SERVICE OPERATION]", "one operation of a service"},
    {section_kind::Caller, "caller", 1, false, "[caller CALLER]",
     "a caller, its owner and its limits over all operations"},
    {section_kind::Rule, "rule", 3, false, "[rule CALLER SERVICE OPERATION]",
     "overrides for one caller's calls of one operation; CALLER and OPERATION "
     "may be *"},
}};

constexpr std::string_view AllowedImportance = "critical, high, normal or low";
constexpr std::string_view AllowedDeadline =
    "1ms to 600000ms, a whole number and ms";
constexpr std::string_view AllowedRetryBudget = "0 to 100";
constexpr std::string_view AllowedRate =
    "0.001/s to 1000000000/s, such as 200/s, or unlimited";
constexpr std::string_view AllowedConcurrency = "1 to 1000000, or unlimited";
constexpr std::string_view AllowedCost = "0.001 to 1000000";

constexpr std::array<key_schema, 26> KeySchemas = {{
    {section_kind::Bundle, "format", true, "-", "1",
     "the version of this text format", StoreFormat},
    {section_kind::Bundle, "name", true, "-", AllowedName,
     "the deployment that the bundle is for", StoreName},

    {section_kind::Defaults, "importance", false, "normal", AllowedImportance,
     "importance of a call", StoreImportance},
    {section_kind::Defaults, "deadline", false, "1000ms", AllowedDeadline,
     "time for a whole request", StoreDeadline},
    {section_kind::Defaults, "retry_budget", false, "2", AllowedRetryBudget,
     "extra attempts of a whole request, over its whole chain",
     StoreRetryBudget},
    {section_kind::Defaults, "rate", false, "unlimited", AllowedRate,
     "calls a second of each caller", StoreRate},
    {section_kind::Defaults, "concurrency", false, "unlimited",
     AllowedConcurrency, "calls at once of each caller", StoreConcurrency},
    {section_kind::Defaults, "cost", false, "unlimited", AllowedRate,
     "cost units a second of each caller", StoreCostRate},

    {section_kind::Service, "owner", false, "none", AllowedName,
     "who runs the service", StoreOwner},

    {section_kind::Operation, "repeatable", true, "-", "yes or no",
     "whether a second run of the same request does no harm", StoreRepeatable},
    {section_kind::Operation, "cost", false, "1", AllowedCost,
     "cost units of one call", StoreCost},
    {section_kind::Operation, "importance", false, "the caller's",
     AllowedImportance, "importance of a call, whoever makes it",
     StoreImportance},
    {section_kind::Operation, "deadline", false, "the default's",
     AllowedDeadline, "time for a whole request", StoreDeadline},
    {section_kind::Operation, "retry_budget", false, "the caller's",
     AllowedRetryBudget,
     "extra attempts of a whole request, over its whole chain",
     StoreRetryBudget},

    {section_kind::Caller, "owner", true, "-", AllowedName,
     "who answers for the caller", StoreOwner},
    {section_kind::Caller, "importance", false, "the default's",
     AllowedImportance, "importance of its calls", StoreImportance},
    {section_kind::Caller, "retry_budget", false, "the default's",
     AllowedRetryBudget,
     "extra attempts of a whole request, over its whole chain",
     StoreRetryBudget},
    {section_kind::Caller, "rate", false, "the default's", AllowedRate,
     "calls a second over all operations", StoreRate},
    {section_kind::Caller, "concurrency", false, "the default's",
     AllowedConcurrency, "calls at once over all operations", StoreConcurrency},
    {section_kind::Caller, "cost", false, "the default's", AllowedRate,
     "cost units a second over all operations", StoreCostRate},

    {section_kind::Rule, "importance", false, "not overridden",
     AllowedImportance, "importance of these calls", StoreImportance},
    {section_kind::Rule, "deadline", false, "not overridden", AllowedDeadline,
     "time for a whole request", StoreDeadline},
    {section_kind::Rule, "retry_budget", false, "not overridden",
     AllowedRetryBudget,
     "extra attempts of a whole request, over its whole chain",
     StoreRetryBudget},
    {section_kind::Rule, "rate", false, "unlimited", AllowedRate,
     "these calls a second, besides the caller's own limit", StoreRate},
    {section_kind::Rule, "concurrency", false, "unlimited", AllowedConcurrency,
     "these calls at once, besides the caller's own limit", StoreConcurrency},
    {section_kind::Rule, "cost", false, "unlimited", AllowedRate,
     "cost units a second of these calls, besides the caller's own limit",
     StoreCostRate},
}};

} // namespace

std::span<const section_schema> sectionSchemas() { return SectionSchemas; }

std::span<const key_schema> keySchemas() { return KeySchemas; }

const section_schema *findSectionSchema(std::string_view Keyword) {
  const auto *Found = std::find_if(
      SectionSchemas.begin(), SectionSchemas.end(),
      [&](const section_schema &Schema) { return Schema.Keyword == Keyword; });
  return Found == SectionSchemas.end() ? nullptr : Found;
}

const key_schema *findKeySchema(section_kind Section, std::string_view Key) {
  const auto *Found = std::find_if(
      KeySchemas.begin(), KeySchemas.end(), [&](const key_schema &Schema) {
        return Schema.Section == Section && Schema.Key == Key;
      });
  return Found == KeySchemas.end() ? nullptr : Found;
}

bool isValidName(std::string_view Name) {
  if (Name.empty() || Name.size() > MaxNameBytes || !isLetterOrDigit(Name[0]))
    return false;
  return std::all_of(Name.begin(), Name.end(), [](char Character) {
    return isLetterOrDigit(Character) || Character == '.' || Character == '_' ||
           Character == '-';
  });
}

} // namespace clementine
