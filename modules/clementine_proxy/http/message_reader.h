#ifndef CLEMENTINE_PROXY_HTTP_MESSAGE_READER_H
#define CLEMENTINE_PROXY_HTTP_MESSAGE_READER_H

#include "clementine_proxy/http/messages.h"

#include <cstdint>
#include <memory>
#include <string>

namespace clementine::proxy {

/// How far a message has been read.
enum class read_progress : std::uint8_t {
  /// The message needs more bytes.
  Incomplete,
  /// The message is whole; what follows it was left in the buffer.
  Complete,
  /// The bytes are no message that is accepted.
  Failed,
};

/// Why a message was not accepted.
enum class read_fault : std::uint8_t {
  None,
  /// The bytes break the protocol, or their framing is ambiguous.
  Malformed,
  /// The header is larger than allowed.
  HeaderTooLarge,
  /// The body is larger than allowed.
  BodyTooLarge,
  /// The bytes ended before the message did.
  Truncated,
};

/// @returns the lower-case name of @p Fault for logs.
std::string_view readFaultName(read_fault Fault);

/// Reads requests from a growing buffer, one at a time. Boost.Beast parses;
/// what it lets through and two servers could read differently is refused here.
class request_reader {
public:
  /// @param MaxHeader and @param MaxBody in bytes.
  request_reader(std::uint64_t MaxHeader, std::uint64_t MaxBody);
  ~request_reader();

  request_reader(const request_reader &) = delete;
  request_reader &operator=(const request_reader &) = delete;

  /// Takes bytes from the front of @p Buffer.
  read_progress read(std::string &Buffer);

  /// @returns whether a part of a request has been read.
  bool hasBegun() const { return HasBegun; }
  /// @returns whether the sender waits for "100 Continue" before the body.
  bool expectsContinue() const;
  read_fault fault() const { return Fault; }

  /// Hands out the whole request and begins the next one.
  request take();

private:
  struct parser;

  read_progress fail(read_fault Reason);
  bool isUnambiguous() const;
  void reset();

  const std::uint64_t MaxHeader;
  const std::uint64_t MaxBody;
  std::unique_ptr<parser> Parser;
  bool HasBegun = false;
  read_fault Fault = read_fault::None;
};

/// Reads one answer from a growing buffer. Interim answers (1xx) are skipped.
class response_reader {
public:
  /// @param IsForHead whether the answer has no body, as to HEAD.
  /// @param MaxBody in bytes.
  response_reader(bool IsForHead, std::uint64_t MaxBody);
  ~response_reader();

  response_reader(const response_reader &) = delete;
  response_reader &operator=(const response_reader &) = delete;

  /// Takes bytes from the front of @p Buffer.
  read_progress read(std::string &Buffer);

  /// Takes the regular end of the connection, which ends an answer that has no
  /// length.
  read_progress readEnd();

  read_fault fault() const { return Fault; }

  /// Hands out the whole answer and begins the next one.
  response take();

private:
  struct parser;

  read_progress fail(read_fault Reason);
  void reset();

  const bool IsForHead;
  const std::uint64_t MaxBody;
  std::unique_ptr<parser> Parser;
  read_fault Fault = read_fault::None;
};

} // namespace clementine::proxy

#endif
