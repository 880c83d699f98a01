#include "stand_in_platform/server/fault_switches.h"

#include <nlohmann/json.hpp>

#include <array>
#include <limits>
#include <optional>

namespace clementine::stand_in {

namespace {

constexpr std::array<std::string_view, 3> OutageNames = {"none", "unavailable",
                                                         "silent"};

struct number_field {
  const char *Name;
  std::uint32_t platform_faults::*Member;
};

constexpr std::array NumberFields = {
    number_field{"delay_ms", &platform_faults::DelayMilliseconds},
    number_field{"lose_answers", &platform_faults::LoseAnswers},
    number_field{"malformed_answers", &platform_faults::MalformedAnswers}};

const number_field *findNumber(std::string_view Name) {
  for (const number_field &Field : NumberFields)
    if (Field.Name == Name)
      return &Field;
  return nullptr;
}

bool setOutage(platform_faults &Faults, const nlohmann::json &Value) {
  for (std::size_t Kind = 0; Kind < OutageNames.size(); ++Kind) {
    if (Value != OutageNames[Kind])
      continue;
    Faults.Outage = static_cast<outage_kind>(Kind);
    return true;
  }
  return false;
}

bool setField(platform_faults &Faults, std::string_view Name,
              const nlohmann::json &Value) {
  if (Name == "outage")
    return setOutage(Faults, Value);
  if (Name == "lapse_leases")
    return Value.is_boolean();
  if (Name == "stale_reads") {
    Faults.StaleReads = Value.is_boolean() && Value.get<bool>();
    return Value.is_boolean();
  }
  const number_field *Number = findNumber(Name);
  if (Number == nullptr || !Value.is_number_unsigned() ||
      Value.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
    return false;
  Faults.*Number->Member = Value.get<std::uint32_t>();
  return true;
}

} // namespace

result<platform_faults, faults_error>
fault_switches::change(std::string_view Json) {
  const auto Changes = nlohmann::json::parse(Json, nullptr, false);
  if (!Changes.is_object())
    return faults_error{};
  const std::lock_guard Lock(Mutex);
  platform_faults Changed = Faults;
  for (const auto &[Name, Value] : Changes.items())
    if (!setField(Changed, Name, Value))
      return faults_error{Name};
  Faults = Changed;
  return Faults;
}

platform_faults fault_switches::current() const {
  const std::lock_guard Lock(Mutex);
  return Faults;
}

bool fault_switches::consumeLostAnswer() {
  const std::lock_guard Lock(Mutex);
  if (Faults.LoseAnswers == 0)
    return false;
  --Faults.LoseAnswers;
  return true;
}

bool fault_switches::consumeMalformedAnswer() {
  const std::lock_guard Lock(Mutex);
  if (Faults.MalformedAnswers == 0)
    return false;
  --Faults.MalformedAnswers;
  return true;
}

} // namespace clementine::stand_in
