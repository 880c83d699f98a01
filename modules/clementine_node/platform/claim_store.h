#ifndef CLEMENTINE_NODE_PLATFORM_CLAIM_STORE_H
#define CLEMENTINE_NODE_PLATFORM_CLAIM_STORE_H

#include "clementine_core/clementine_core.h"
#include "clementine_platform/clementine_platform.h"
#include "clementine_request/entry/entry_ports.h"

#include <optional>
#include <string>

namespace clementine {

/// The key prefix of all claims in the platform.
constexpr std::string_view ClaimPrefix = "clementine/claims/";

/// Records which gate may run a key, by compare-and-swap in the platform.
///
/// A claim's number is the revision of its last change, so it increases with
/// each claim on a key. A claim is not tied to a lease: a lease that expires
/// while its holder is paused would permit a second run.
class claim_store {
public:
  /// @param Store and @p Random have to outlive the claim_store.
  claim_store(platform_store &Store, random_source &Random);

  claim_store(const claim_store &) = delete;
  claim_store &operator=(const claim_store &) = delete;

  /// Blocks until the claim is decided or the platform's timeout has passed.
  claim_result claim(const claim_request &Request);

private:
  struct stored_claim {
    node_identity Gate;
    std::string WriteId;
  };

  claim_result readBack(const claim_request &Request,
                        const std::string &WriteId);
  static claim_result resultOf(const claim_request &Request,
                               const platform_entry &Entry,
                               const std::string &WriteId);
  static std::string encode(const stored_claim &Claim);
  static std::optional<stored_claim> decode(const std::string &Text);

  platform_store &Store;
  random_source &Random;
};

} // namespace clementine

#endif
