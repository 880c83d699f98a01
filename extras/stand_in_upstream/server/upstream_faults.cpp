#include "stand_in_upstream/server/upstream_faults.h"

#include <nlohmann/json.hpp>

#include <array>

namespace clementine::stand_in {

namespace {

constexpr double SmallestSlowFactor = 0.01;
constexpr double LargestSlowFactor = 1000;
constexpr std::uint64_t MaxTruncatedAnswers = 1000000;

struct flag_field {
  std::string_view Name;
  bool upstream_faults::*Member;
};

constexpr std::array FlagFields = {
    flag_field{"hang", &upstream_faults::Hangs},
    flag_field{"die_after_run", &upstream_faults::ExitsAfterRun},
    flag_field{"health_lies", &upstream_faults::InvertsHealth},
    flag_field{"load_lies", &upstream_faults::InvertsLoad},
    flag_field{"shed", &upstream_faults::Sheds}};

bool setSlowFactor(upstream_faults &Faults, const nlohmann::json &Value) {
  if (!Value.is_number())
    return false;
  Faults.SlowFactor = Value.get<double>();
  return Faults.SlowFactor >= SmallestSlowFactor &&
         Faults.SlowFactor <= LargestSlowFactor;
}

bool setTruncatedAnswers(upstream_faults &Faults, const nlohmann::json &Value) {
  if (!Value.is_number_unsigned() ||
      Value.get<std::uint64_t>() > MaxTruncatedAnswers)
    return false;
  Faults.TruncatedAnswers = Value.get<std::uint32_t>();
  return true;
}

bool setField(upstream_faults &Faults, std::string_view Name,
              const nlohmann::json &Value) {
  if (Name == "slow_factor")
    return setSlowFactor(Faults, Value);
  if (Name == "cut_answers")
    return setTruncatedAnswers(Faults, Value);
  for (const flag_field &Field : FlagFields) {
    if (Field.Name != Name || !Value.is_boolean())
      continue;
    Faults.*Field.Member = Value.get<bool>();
    return true;
  }
  return false;
}

} // namespace

result<upstream_faults, upstream_faults_error>
upstream_switches::change(std::string_view Json) {
  const auto Changes = nlohmann::json::parse(Json, nullptr, false);
  if (!Changes.is_object())
    return upstream_faults_error{};
  const std::lock_guard Lock(Mutex);
  upstream_faults Changed = Faults;
  for (const auto &[Name, Value] : Changes.items())
    if (!setField(Changed, Name, Value))
      return upstream_faults_error{Name};
  Faults = Changed;
  return Faults;
}

upstream_faults upstream_switches::current() const {
  const std::lock_guard Lock(Mutex);
  return Faults;
}

bool upstream_switches::consumeTruncatedAnswer() {
  const std::lock_guard Lock(Mutex);
  if (Faults.TruncatedAnswers == 0)
    return false;
  --Faults.TruncatedAnswers;
  return true;
}

} // namespace clementine::stand_in
