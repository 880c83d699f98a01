#ifndef CLEMENTINE_PROXY_HTTP_MESSAGE_READER_H
#define CLEMENTINE_PROXY_HTTP_MESSAGE_READER_H

#include "clementine_proxy/http/messages.h"

#include <cstdint>
#include <memory>
#include <string>

namespace clementine::proxy {

/// Result of reading from a buffer.
enum class read_progress : std::uint8_t {
  /// The message needs more bytes.
  Incomplete,
  /// The message is complete; bytes after it were left in the buffer.
  Complete,
  /// The message was rejected; see read_fault.
  Failed,
};

/// Why a message was rejected.
enum class read_fault : std::uint8_t {
  None,
  /// The message violates the protocol, or its framing is ambiguous.
  Malformed,
  /// The header, or what frames the body, exceeds its size limit.
  HeaderTooLarge,
  /// The body exceeds its size limit.
  BodyTooLarge,
  /// The connection ended before the message was complete.
  Truncated,
};

/// @returns the lower-case name of @p Fault, for logs.
std::string_view readFaultName(read_fault Fault);

/// Reads requests one at a time from a growing buffer. Boost.Beast parses them;
/// requests that it accepts but that two servers could interpret differently
/// are rejected here.
class request_reader {
public:
  /// @param MaxHeader in bytes; at most MaxCallerHeaderBytes take effect.
  /// @param MaxBody in bytes; at most MaxCallerBodyBytes take effect.
  request_reader(std::uint64_t MaxHeader, std::uint64_t MaxBody);
  ~request_reader();

  /// Sets the limits of the requests that are read from now on. No part of a
  /// request may have been read.
  /// @param HeaderBytes at most MaxCallerHeaderBytes take effect.
  /// @param BodyBytes at most MaxCallerBodyBytes take effect.
  void setLimits(std::uint64_t HeaderBytes, std::uint64_t BodyBytes);

  request_reader(const request_reader &) = delete;
  request_reader &operator=(const request_reader &) = delete;

  /// Consumes bytes from the front of @p Buffer.
  read_progress read(std::string &Buffer);

  /// @returns whether part of a request has been read.
  bool hasPartialRequest() const { return HasPartialRequest; }
  /// @returns whether the client may wait for "100 Continue" before sending the
  /// body.
  bool expectsContinue() const;
  read_fault fault() const { return Fault; }

  /// Returns the complete request and prepares to read the next one.
  request take();

private:
  struct parser;

  read_progress fail(read_fault Reason);
  bool isUnambiguous() const;
  void reset();

  std::uint64_t MaxHeader = 0;
  std::uint64_t MaxBody = 0;
  std::unique_ptr<parser> Parser;
  /// Bytes of the current request that were consumed so far.
  std::uint64_t ConsumedBytes = 0;
  bool HasPartialRequest = false;
  read_fault Fault = read_fault::None;
};

/// Reads responses from a growing buffer. Interim responses (1xx) are skipped.
/// A response whose header, chunk framing, trailer or interim responses never
/// end is rejected at a limit.
class response_reader {
public:
  /// @param IsForHead whether the response has no body because it answers HEAD.
  /// @param MaxBody in bytes.
  response_reader(bool IsForHead, std::uint64_t MaxBody);
  ~response_reader();

  response_reader(const response_reader &) = delete;
  response_reader &operator=(const response_reader &) = delete;

  /// Consumes bytes from the front of @p Buffer.
  read_progress read(std::string &Buffer);

  /// Handles an orderly close of the connection, which completes a response
  /// that has no explicit length.
  read_progress readEnd();

  read_fault fault() const { return Fault; }
  /// @returns the number of bytes of the body that have been read so far.
  std::size_t bodyBytes() const;

  /// Returns the complete response and prepares to read the next one.
  response take();

private:
  struct parser;

  read_progress fail(read_fault Reason);
  bool acceptHead();
  void reset();

  const bool IsForHead;
  const std::uint64_t MaxBody;
  std::unique_ptr<parser> Parser;
  /// The bytes read so far of a head that is not complete.
  std::string Head;
  /// Bytes of the current response and of the interim responses before it that
  /// were consumed so far.
  std::uint64_t ConsumedBytes = 0;
  read_fault Fault = read_fault::None;
};

} // namespace clementine::proxy

#endif
