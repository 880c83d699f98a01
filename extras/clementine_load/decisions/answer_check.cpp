#include "clementine_load/decisions/answer_check.h"

#include <nlohmann/json.hpp>

namespace clementine::load {

namespace {

using json = nlohmann::json;

constexpr long StatusOk = 200;

bool hasText(const json &Object, const char *Field, std::string_view Text) {
  const auto Found = Object.find(Field);
  return Found != Object.end() && Found->is_string() &&
         Found->get_ref<const std::string &>() == Text;
}

bool isComplete(const deployment &Deployment, const operation_name &Target,
                std::string_view Nonce, const json &Answer) {
  if (!Answer.is_object() || !hasText(Answer, "service", Target.Service) ||
      !hasText(Answer, "operation", Target.Operation) ||
      !hasText(Answer, "echo", Nonce))
    return false;
  const service_description *Service = Deployment.find(Target.Service);
  if (Service == nullptr)
    return false;
  const auto Plan = Service->Calls.find(Target.Operation);
  static const std::vector<operation_name> NoCalls;
  const auto &Calls = Plan == Service->Calls.end() ? NoCalls : Plan->second;
  const auto Answers = Answer.find("calls");
  if (Answers == Answer.end() || !Answers->is_array() ||
      Answers->size() != Calls.size())
    return false;
  for (std::size_t Index = 0; Index < Calls.size(); ++Index)
    if (!isComplete(Deployment, Calls[Index], Nonce, (*Answers)[Index]))
      return false;
  return true;
}

} // namespace

send_outcome classifyAnswer(const deployment &Deployment,
                            const operation_name &Target,
                            std::string_view Nonce,
                            const received_answer &Answer) {
  if (Answer.Outcome == "not-run")
    return send_outcome::NotRun;
  if (Answer.Outcome == "unknown")
    return send_outcome::Unknown;
  if (Answer.Status != StatusOk)
    return send_outcome::Failed;
  const json Body = json::parse(Answer.Body, nullptr, false);
  return isComplete(Deployment, Target, Nonce, Body) ? send_outcome::Succeeded
                                                     : send_outcome::Wrong;
}

} // namespace clementine::load
