#include "clementine_load/description/scenario.h"

#include "clementine_load/description/section_reader.h"

#include <array>

namespace clementine::load {

namespace {

using fault = description_error::fault;

constexpr std::array<std::string_view, 3> ResendNames = {"never", "back_off",
                                                         "hard"};
constexpr std::array<std::string_view, 8> FaultNames = {
    "slow",          "mislead",         "kill",         "pause", "drain",
    "platform_down", "platform_silent", "platform_slow"};

template <class Value, std::size_t Count>
bool readName(const std::array<std::string_view, Count> &Names,
              std::string_view Text, Value &Target) {
  const auto *Found = std::find(Names.begin(), Names.end(), Text);
  if (Found == Names.end())
    return false;
  Target = static_cast<Value>(Found - Names.begin());
  return true;
}

const std::vector<key_rule<scenario>> ScenarioRules = {
    memberRule("name", true, &scenario::Name),
    memberRule("seed", false, &scenario::Seed),
    memberRule("duration", true, &scenario::Duration),
    memberRule("warm_up", false, &scenario::WarmUp),
    memberRule("patience", false, &scenario::RequestTimeout),
    memberRule("send_timeout", false, &scenario::SendTimeout),
    memberRule("threads", false, &scenario::Threads),
    memberRule("most_sends", false, &scenario::MaxSends),
    {"resend", false, [](std::string_view Text, scenario &Scenario) {
       return readName(ResendNames, Text, Scenario.Resend);
     }}};

const std::vector<key_rule<load_stream>> StreamRules = {
    memberRule("caller", true, &load_stream::Caller),
    memberRule("rate", true, &load_stream::Rate),
    {"operation", true,
     [](std::string_view Text, load_stream &Stream) {
       return splitOperation(Text, Stream.Target.Service,
                             Stream.Target.Operation);
     }},
    {"importance", true, [](std::string_view Text, load_stream &Stream) {
       return parseImportance(Text, Stream.Level);
     }}};

const std::vector<key_rule<surge_phase>> SurgeRules = {
    memberRule("begin", true, &surge_phase::Begin),
    memberRule("end", true, &surge_phase::End),
    memberRule("factor", true, &surge_phase::Factor)};

const std::vector<key_rule<scheduled_fault>> FaultRules = {
    memberRule("at", true, &scheduled_fault::At),
    memberRule("until", false, &scheduled_fault::Until),
    memberRule("target", false, &scheduled_fault::Target),
    memberRule("value", false, &scheduled_fault::Value),
    {"kind", true, [](std::string_view Text, scheduled_fault &Fault) {
       return readName(FaultNames, Text, Fault.Kind);
     }}};

template <class Value>
std::optional<description_error>
appendSection(const ini_document &Document, const ini_section &Section,
              const std::vector<key_rule<Value>> &Rules,
              std::vector<Value> &Target) {
  Value Object;
  auto Failed = readSection(Document, Section, Rules, Object);
  Target.push_back(std::move(Object));
  return Failed;
}

std::optional<description_error>
readScenarioSection(const ini_document &Document, const ini_section &Section,
                    scenario &Scenario) {
  if (Section.Name == "scenario")
    return readSection(Document, Section, ScenarioRules, Scenario);
  if (Section.Name.starts_with("load_"))
    return appendSection(Document, Section, StreamRules, Scenario.Streams);
  if (Section.Name.starts_with("surge_"))
    return appendSection(Document, Section, SurgeRules, Scenario.Surges);
  if (Section.Name.starts_with("fault_"))
    return appendSection(Document, Section, FaultRules, Scenario.Faults);
  return description_error{fault::UnknownSection, Section.Line, Section.Name,
                           "", ""};
}

} // namespace

double scenario::factorAt(duration Time) const {
  double Factor = 1;
  for (const surge_phase &Surge : Surges)
    if (Time >= Surge.Begin && Time < Surge.End)
      Factor *= static_cast<double>(Surge.Factor);
  return Factor;
}

const surge_phase *scenario::lastSurge() const {
  const auto Last =
      std::max_element(Surges.begin(), Surges.end(),
                       [](const surge_phase &Left, const surge_phase &Right) {
                         return Left.End < Right.End;
                       });
  return Last == Surges.end() ? nullptr : &*Last;
}

result<scenario, description_error> readScenario(std::string_view Text) {
  const auto Document = readDocument(Text);
  if (!Document)
    return Document.error();
  scenario Scenario;
  for (const ini_section &Section : Document.value().Sections) {
    const auto Failed =
        readScenarioSection(Document.value(), Section, Scenario);
    if (Failed)
      return *Failed;
  }
  if (Scenario.Name.empty() || Scenario.Streams.empty())
    return description_error{fault::MissingKey, 0, "scenario", "name", ""};
  if (Scenario.Threads == 0 || Scenario.MaxSends == 0)
    return description_error{fault::Inconsistent, 0, "scenario", "threads",
                             "0"};
  return Scenario;
}

} // namespace clementine::load
