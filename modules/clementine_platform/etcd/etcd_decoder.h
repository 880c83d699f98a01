#ifndef CLEMENTINE_PLATFORM_ETCD_ETCD_DECODER_H
#define CLEMENTINE_PLATFORM_ETCD_ETCD_DECODER_H

#include "clementine_core/errors/result.h"
#include "clementine_platform/etcd/etcd_messages.h"

namespace clementine::etcd {

/// @name Responses, decoded by the client
result<platform_range, codec_error> decodeRange(std::string_view Text);
result<platform_commit, codec_error> decodeCommit(std::string_view Text);
result<lease_message, codec_error> decodeLease(std::string_view Text);
result<lease_message, codec_error> decodeLeaseRenewal(std::string_view Text);
result<watch_message, codec_error> decodeWatchMessage(std::string_view Text);

/// Decodes the error body of a response whose status is not 200. Any text is
/// accepted: one that does not have the gateway's format becomes the message,
/// truncated to a fixed length.
gateway_error decodeGatewayError(std::string_view Text);

/// @name Requests, decoded by the service
result<range_request, codec_error> decodeRangeRequest(std::string_view Text);
result<platform_transaction, codec_error>
decodeTransaction(std::string_view Text);
result<lease_message, codec_error> decodeLeaseRequest(std::string_view Text);
result<watch_request, codec_error> decodeWatchRequest(std::string_view Text);

} // namespace clementine::etcd

#endif
