#include "clementine_bundle/model/bundle.h"

#include "clementine_bundle/model/bundle_content.h"

#include <array>
#include <cassert>
#include <utility>

namespace clementine {

namespace {

constexpr std::array<std::string_view, 3> PolicyErrorNames = {
    "unknown caller", "unknown service", "unknown operation"};

} // namespace

std::string_view policyErrorName(policy_error Error) {
  return PolicyErrorNames.at(static_cast<std::size_t>(Error));
}

void policy_layer::applyTo(operation_policy &Policy) const {
  if (Importance) {
    Policy.Importance = *Importance;
    Policy.Sources.Importance = Section;
  }
  if (Deadline) {
    Policy.Deadline = *Deadline;
    Policy.Sources.Deadline = Section;
  }
  if (RetryBudget) {
    Policy.RetryBudget = *RetryBudget;
    Policy.Sources.RetryBudget = Section;
  }
  if (Limits) {
    Policy.OperationLimits = *Limits;
    Policy.Sources.OperationLimits = Section;
  }
}

std::size_t
operation_name_hash::operator()(const operation_name &Name) const noexcept {
  const std::hash<std::string_view> Hash;
  constexpr std::size_t OddMultiplier = 0x9e3779b97f4a7c15ULL;
  return Hash(Name.Service) * OddMultiplier + Hash(Name.Operation);
}

void bundle::content::applyRule(std::uint64_t Key,
                                operation_policy &Policy) const {
  const auto Found = RuleByCall.find(Key);
  if (Found != RuleByCall.end())
    Rules[Found->second].applyTo(Policy);
}

bundle::bundle(std::shared_ptr<const content> Content)
    : Content(std::move(Content)) {}

result<operation_policy, policy_error>
bundle::decide(std::string_view Caller, std::string_view Service,
               std::string_view Operation) const {
  const auto FoundCaller = Content->CallerByName.find(Caller);
  if (FoundCaller == Content->CallerByName.end())
    return policy_error::UnknownCaller;
  const auto Found = Content->OperationByName.find({Service, Operation});
  if (Found == Content->OperationByName.end())
    return Content->ServiceByName.contains(Service)
               ? policy_error::UnknownOperation
               : policy_error::UnknownService;

  operation_policy Policy;
  Policy.Caller = FoundCaller->second;
  Policy.Operation = Found->second;
  const auto &CallerLayers = Content->CallerLayers[Policy.Caller];
  const auto &OperationLayers = Content->OperationLayers[Policy.Operation];
  const operation_entry &Entry = Content->Operations[Policy.Operation];
  Policy.Limits = Content->Callers[Policy.Caller].Limits;
  Policy.Repeatable = Entry.Repeatable;
  Policy.Sources.Repeatable = Entry.Section;
  Policy.Cost = Entry.Cost;
  Policy.Sources.Cost = OperationLayers.CostSource;

  // From the least specific layer to the most specific one.
  Content->Defaults.applyTo(Policy);
  CallerLayers.Own.applyTo(Policy);
  OperationLayers.Own.applyTo(Policy);
  if (OperationLayers.AnyCallerAnyOperation != NoRule)
    Content->Rules[OperationLayers.AnyCallerAnyOperation].applyTo(Policy);
  if (OperationLayers.AnyCaller != NoRule)
    Content->Rules[OperationLayers.AnyCaller].applyTo(Policy);
  if (!CallerLayers.HasRules)
    return Policy;
  Content->applyRule(
      content::serviceKey(Policy.Caller, OperationLayers.Service), Policy);
  Content->applyRule(content::operationKey(Policy.Caller, Policy.Operation),
                     Policy);
  return Policy;
}

const std::string &bundle::name() const { return Content->Name; }

std::span<const caller_entry> bundle::callers() const {
  return Content->Callers;
}

std::span<const operation_entry> bundle::operations() const {
  return Content->Operations;
}

std::span<const bundle_part> bundle::parts() const { return Content->Parts; }

std::string_view bundle::sectionName(section_index Index) const {
  if (Index == BuiltIn)
    return "built-in";
  assert(Index < Content->Parts.size() &&
         "the index belongs to another bundle");
  return Content->Parts[Index].Name;
}

const sha256_digest &bundle::digest() const { return Content->Digest; }

std::string bundle::text() const {
  std::string Text;
  for (const bundle_part &Part : Content->Parts)
    Text += Part.Text;
  return Text;
}

} // namespace clementine
