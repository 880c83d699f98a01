#ifndef CLEMENTINE_PLATFORM_ETCD_ETCD_ENCODER_H
#define CLEMENTINE_PLATFORM_ETCD_ETCD_ENCODER_H

#include "clementine_platform/etcd/etcd_messages.h"

namespace clementine::etcd {

/// @name Requests, encoded by the client
std::string encodeRangeRequest(const range_request &Request);
std::string encodeTransaction(const platform_transaction &Transaction);
std::string encodeLeaseGrant(std::int64_t TimeToLiveSeconds);
std::string encodeLeaseId(lease_id Lease);
std::string encodeWatchRequest(const watch_request &Request);

/// @name Responses, encoded by the service
std::string encodeRange(const platform_range &Range);
std::string encodeCommit(const platform_commit &Commit,
                         const platform_transaction &Transaction);
std::string encodeLease(const lease_message &Lease);
std::string encodeLeaseRenewal(const lease_message &Lease);
std::string encodeWatchMessage(const watch_message &Message);
std::string encodeGatewayError(const gateway_error &Error);

} // namespace clementine::etcd

#endif
