#ifndef CLEMENTINE_PROXY_MODEL_MESSAGE_LIMITS_H
#define CLEMENTINE_PROXY_MODEL_MESSAGE_LIMITS_H

#include <cstddef>
#include <cstdint>

/// The limits of the messages between nodes. What enters a node (a caller's
/// request, an instance's response or report, an entry of the store) is
/// compared with them where it is read, so that it can be encoded afterwards;
/// what another node sends is compared with them when it is decoded.
namespace clementine::proxy {

/// The longest name of a node, zone, service, route or instance, in bytes.
constexpr std::uint32_t MaxNameLength = 1024;
/// The longest textual form of a network address, in bytes.
constexpr std::uint32_t MaxAddressLength = 64;

/// The most services and routes of a configuration, and services of a route.
constexpr std::uint32_t MaxServiceCount = 4096;
constexpr std::uint32_t MaxRouteCount = 65536;

/// The most requests that an instance can say to run at once.
constexpr std::uint32_t MaxInstanceSlots = 1'000'000;
/// The latest start of a process in wall-clock milliseconds: the end of the
/// year 9999.
constexpr std::uint64_t MaxWallMilliseconds = 253'402'300'799'999;

/// The largest header that a caller may send, in bytes. A configuration can
/// only lower it.
constexpr std::uint32_t MaxCallerHeaderBytes = 1U << 20U;
/// The largest body that a caller may send, in bytes. A configuration can only
/// lower it.
constexpr std::uint32_t MaxCallerBodyBytes = 64U << 20U;
/// The largest header of an instance's response, in bytes.
constexpr std::uint32_t MaxResponseHeaderBytes = 64U << 10U;

/// The fewest bytes that a header field occupies in a request or response: a
/// name of one byte, the colon and the line end.
constexpr std::uint32_t MinFieldBytes = 4;
/// The largest number of fields in the header and trailer that a node accepts,
/// and their largest size in bytes.
constexpr std::uint32_t MaxFieldBytes = 2 * MaxCallerHeaderBytes;
constexpr std::uint32_t MaxAcceptedFields = MaxFieldBytes / MinFieldBytes;
/// The fields that a node may add to a request that it forwards.
constexpr std::uint32_t MaxAddedFields = 16;
/// The largest number of header fields of a message.
constexpr std::uint32_t MaxFieldCount = MaxAcceptedFields + MaxAddedFields;
/// The longest method, target or request identifier, and the longest name or
/// value of a header field, in bytes.
constexpr std::uint32_t MaxTextLength = MaxCallerHeaderBytes;
/// The largest body of a message, in bytes.
constexpr std::uint32_t MaxBodyLength = 70U << 20U;

/// The bytes that the codec adds to each header field: two lengths.
constexpr std::uint32_t EncodedFieldOverhead = 8;
/// The largest encoded message without its body, in bytes: the header fields,
/// and as much again for the request line, the identifier and the fields of
/// fixed size.
constexpr std::size_t MaxEnvelopeBytes =
    std::size_t{2} * MaxFieldBytes +
    std::size_t{MaxFieldCount} * EncodedFieldOverhead;
/// The largest encoded message, in bytes, without the length prefix.
constexpr std::size_t MaxPeerMessageBytes = MaxBodyLength + MaxEnvelopeBytes;

static_assert(MaxCallerBodyBytes <= MaxBodyLength);
static_assert(MaxResponseHeaderBytes <= MaxCallerHeaderBytes);

} // namespace clementine::proxy

#endif
