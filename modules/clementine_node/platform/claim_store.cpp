#include "clementine_node/platform/claim_store.h"

#include <nlohmann/json.hpp>

namespace clementine {

claim_store::claim_store(platform_store &Store, random_source &Random)
    : Store(Store), Random(Random) {}

claim_result claim_store::claim(const claim_request &Request) {
  const std::string WriteId = request_id{Random.next(), Random.next()}.text();
  const std::string Key = std::string(ClaimPrefix) + Request.Key;
  platform_transaction Transaction;
  Transaction.Compares.push_back({Key, platform_compare::field::ModRevision,
                                  platform_compare::relation::Equal,
                                  static_cast<std::int64_t>(Request.Replaces)});
  Transaction.Puts.push_back({Key, encode({Request.Gate, WriteId}), 0});
  Transaction.ReadsOnFailure.push_back(Key);
  const auto Commit = Store.commit(Transaction);
  if (Commit.has_error()) {
    if (Commit.error().Effect == platform_effect::NotApplied)
      return {Request.Call, claim_status::Unavailable, 0, {}};
    return readBack(Request, WriteId);
  }
  if (Commit.value().Succeeded)
    return {Request.Call, claim_status::Granted,
            static_cast<std::uint64_t>(Commit.value().Revision), Request.Gate};
  if (Commit.value().Entries.empty())
    return {Request.Call, claim_status::Unavailable, 0, {}};
  return resultOf(Request, Commit.value().Entries.front(), WriteId);
}

claim_result claim_store::readBack(const claim_request &Request,
                                   const std::string &WriteId) {
  const auto Entry = Store.get(std::string(ClaimPrefix) + Request.Key);
  if (Entry.has_error() || !Entry.value())
    return {Request.Call, claim_status::Unavailable, 0, {}};
  return resultOf(Request, *Entry.value(), WriteId);
}

claim_result claim_store::resultOf(const claim_request &Request,
                                   const platform_entry &Entry,
                                   const std::string &WriteId) {
  const auto Stored = decode(Entry.Value);
  if (!Stored)
    return {Request.Call, claim_status::Unavailable, 0, {}};
  const bool IsOwn = Stored->WriteId == WriteId;
  return {Request.Call, IsOwn ? claim_status::Granted : claim_status::Held,
          static_cast<std::uint64_t>(Entry.ModRevision), Stored->Gate};
}

std::string claim_store::encode(const stored_claim &Claim) {
  return nlohmann::json{{"gate", Claim.Gate.Name},
                        {"incarnation", Claim.Gate.Incarnation},
                        {"write", Claim.WriteId}}
      .dump();
}

std::optional<claim_store::stored_claim>
claim_store::decode(const std::string &Text) {
  const auto Json = nlohmann::json::parse(Text, nullptr, false);
  if (!Json.is_object())
    return std::nullopt;
  try {
    stored_claim Claim;
    Claim.Gate.Name = Json.at("gate").get<std::string>();
    Claim.Gate.Incarnation = Json.at("incarnation").get<std::uint64_t>();
    Claim.WriteId = Json.at("write").get<std::string>();
    return Claim;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace clementine
