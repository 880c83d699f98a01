#include "clementine_proxy/http/message_reader.h"

#include "clementine_core/http/response_syntax.h"
#include "clementine_proxy/model/message_limits.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace clementine::proxy {

namespace http = boost::beast::http;

namespace {

/// Bytes of chunk sizes and line ends allowed for each byte of a body, enough
/// for a body that is sent in chunks of one byte.
constexpr std::uint64_t FramingBytesPerBodyByte = 8;

/// Whether a message has more bytes around its body (start line, header fields,
/// chunk sizes and extensions, trailer fields) than any real sender needs.
bool hasExcessiveFraming(std::uint64_t ConsumedBytes, std::uint64_t BodyBytes,
                         std::uint64_t MaxHeader) {
  const std::uint64_t Allowed =
      2 * MaxHeader + (1 + FramingBytesPerBodyByte) * BodyBytes;
  return ConsumedBytes > Allowed;
}

/// The shortest end of a body in chunks: a last chunk without a trailer.
constexpr std::size_t MinChunkedEndBytes = std::string_view("0\r\n\r\n").size();

/// Whether @p Target can use its input if only @p Bytes of it are there. In a
/// body in chunks the parser asserts that the end of the message is complete
/// when it is given input behind the line of the last chunk, so that input too
/// short for any end is kept until more has come.
template <class Parser>
bool canUseInput(const Parser &Target, std::size_t Bytes) {
  if (Target.is_header_done() && Target.chunked())
    return Bytes >= MinChunkedEndBytes;
  return Bytes > 0;
}

/// Feeds @p Buffer to the parser @p Target and removes the consumed bytes.
/// @returns the last error; need_more for an incomplete message. A field that
/// is longer than the parser can store, which it reports by an exception,
/// counts as part of a header that is too large.
/// @param ConsumedBytes increased by the number of consumed bytes.
/// @param Copy if set, the consumed bytes are appended to it.
template <class Parser>
boost::beast::error_code consume(Parser &Target, std::string &Buffer,
                                 std::uint64_t &ConsumedBytes,
                                 std::string *Copy = nullptr) try {
  std::size_t Offset = 0;
  boost::beast::error_code Error;
  while (!Target.is_done() && canUseInput(Target, Buffer.size() - Offset)) {
    const std::size_t Consumed = Target.put(
        boost::asio::buffer(Buffer.data() + Offset, Buffer.size() - Offset),
        Error);
    Offset += Consumed;
    if (Error || Consumed == 0)
      break;
  }
  if (Copy != nullptr)
    Copy->append(Buffer, 0, Offset);
  Buffer.erase(0, Offset);
  ConsumedBytes += Offset;
  return Error;
} catch (const std::length_error &) {
  return http::error::header_limit;
}

read_fault faultOf(const boost::beast::error_code &Error) {
  if (Error == http::error::header_limit)
    return read_fault::HeaderTooLarge;
  if (Error == http::error::body_limit)
    return read_fault::BodyTooLarge;
  return read_fault::Malformed;
}

/// Whether @p Text contains the beginning of a response, as in "HTTP/1.1 200".
bool containsStatusLine(std::string_view Text) {
  constexpr std::string_view Version = "HTTP/1.";
  constexpr std::string_view Pattern = "0 000"; // 0 stands for any digit.
  for (std::size_t At = Text.find(Version); At != std::string_view::npos;
       At = Text.find(Version, At + 1)) {
    const std::string_view Found =
        Text.substr(At + Version.size(), Pattern.size());
    if (std::equal(Found.begin(), Found.end(), Pattern.begin(), Pattern.end(),
                   [](char Byte, char Expected) {
                     return Expected == ' ' ? Byte == ' '
                                            : Byte >= '0' && Byte <= '9';
                   }))
      return true;
  }
  return false;
}

/// Whether a head begins with another that broke off: bytes that the server
/// wrote earlier, with the status of another response.
template <class Message> bool containsBrokenHead(const Message &Source) {
  const auto Reason = Source.reason();
  return containsStatusLine({Reason.data(), Reason.size()}) ||
         std::any_of(Source.begin(), Source.end(), [](const auto &Field) {
           return containsStatusLine(
               {Field.value().data(), Field.value().size()});
         });
}

/// Whether the body is as it was sent: coded in no way, or in chunks alone.
template <class Message> bool isOnlyChunked(const Message &Source) {
  const auto [Begin, End] = Source.equal_range(http::field::transfer_encoding);
  return Begin == End ||
         (std::next(Begin) == End &&
          boost::algorithm::iequals(
              std::string(Begin->value().data(), Begin->value().size()),
              "chunked"));
}

/// Whether a server can answer a request with the status: no request asks for
/// another protocol.
template <class Message> bool hasPossibleStatus(const Message &Source) {
  return isInterimStatus(Source.result_int()) ||
         isFinalStatus(Source.result_int());
}

/// Whether the header and trailer fields of a message fit into one message
/// between nodes.
template <class Message> bool hasAcceptableFields(const Message &Source) {
  std::uint64_t Count = 0;
  std::uint64_t Bytes = 0;
  for (const auto &Field : Source) {
    ++Count;
    Bytes += Field.name_string().size() + Field.value().size();
  }
  return Count <= MaxAcceptedFields && Bytes <= MaxFieldBytes;
}

template <class Message> header_list headersOf(const Message &Source) {
  header_list Headers;
  for (const auto &Field : Source)
    Headers.emplace_back(
        std::string(Field.name_string().data(), Field.name_string().size()),
        std::string(Field.value().data(), Field.value().size()));
  return Headers;
}

} // namespace

std::string_view readFaultName(read_fault Fault) {
  switch (Fault) {
  case read_fault::None:
    return "none";
  case read_fault::Malformed:
    return "malformed";
  case read_fault::HeaderTooLarge:
    return "header-too-large";
  case read_fault::BodyTooLarge:
    return "body-too-large";
  case read_fault::Truncated:
    return "truncated";
  }
  return "unknown";
}

struct request_reader::parser {
  http::request_parser<http::string_body> Beast;
};

request_reader::request_reader(std::uint64_t MaxHeader, std::uint64_t MaxBody) {
  setLimits(MaxHeader, MaxBody);
}

request_reader::~request_reader() = default;

void request_reader::setLimits(std::uint64_t HeaderBytes,
                               std::uint64_t BodyBytes) {
  assert(!HasPartialRequest && "part of a request has been read");
  MaxHeader = std::min<std::uint64_t>(HeaderBytes, MaxCallerHeaderBytes);
  MaxBody = std::min<std::uint64_t>(BodyBytes, MaxCallerBodyBytes);
  reset();
}

void request_reader::reset() {
  Parser = std::make_unique<parser>();
  Parser->Beast.eager(true);
  Parser->Beast.header_limit(static_cast<std::uint32_t>(MaxHeader));
  Parser->Beast.body_limit(MaxBody);
  HasPartialRequest = false;
  ConsumedBytes = 0;
}

read_progress request_reader::fail(read_fault Reason) {
  Fault = Reason;
  return read_progress::Failed;
}

read_progress request_reader::read(std::string &Buffer) {
  if (Fault != read_fault::None)
    return read_progress::Failed;
  if (Buffer.empty() && !Parser->Beast.is_done())
    return read_progress::Incomplete;
  HasPartialRequest = true;
  const auto Error = consume(Parser->Beast, Buffer, ConsumedBytes);
  if (Error && Error != http::error::need_more)
    return fail(faultOf(Error));
  const bool IsDone = Parser->Beast.is_done();
  if ((!IsDone && Buffer.size() > MaxHeader) ||
      hasExcessiveFraming(ConsumedBytes, Parser->Beast.get().body().size(),
                          MaxHeader))
    return fail(read_fault::HeaderTooLarge);
  if (!IsDone)
    return read_progress::Incomplete;
  if (!hasAcceptableFields(Parser->Beast.get()))
    return fail(read_fault::HeaderTooLarge);
  return isUnambiguous() ? read_progress::Complete
                         : fail(read_fault::Malformed);
}

bool request_reader::isUnambiguous() const {
  const auto &Message = Parser->Beast.get();
  if (Message.count(http::field::host) != 1 ||
      Message.count(http::field::content_length) > 1 || !isOnlyChunked(Message))
    return false;
  const auto Target = Message.target();
  return !Target.empty() && Target.front() == '/' && Message.version() == 11;
}

bool request_reader::expectsContinue() const {
  if (!Parser->Beast.is_header_done() || Parser->Beast.is_done())
    return false;
  const auto Expect = Parser->Beast.get().find(http::field::expect);
  return Expect != Parser->Beast.get().end();
}

request request_reader::take() {
  assert(Parser->Beast.is_done() && "the request is incomplete");
  auto Message = Parser->Beast.release();
  request Result;
  Result.Method = std::string(Message.method_string().data(),
                              Message.method_string().size());
  Result.Target = std::string(Message.target().data(), Message.target().size());
  Result.Headers = headersOf(Message);
  Result.KeepsAlive = Message.keep_alive();
  Result.Body = std::move(Message.body());
  reset();
  return Result;
}

struct response_reader::parser {
  http::response_parser<http::string_body> Beast;
};

response_reader::response_reader(bool IsForHead, std::uint64_t MaxBody)
    : IsForHead(IsForHead),
      MaxBody(std::min<std::uint64_t>(MaxBody, MaxBodyLength)) {
  reset();
}

response_reader::~response_reader() = default;

void response_reader::reset() {
  Parser = std::make_unique<parser>();
  Parser->Beast.eager(true);
  Parser->Beast.header_limit(MaxResponseHeaderBytes);
  Parser->Beast.body_limit(MaxBody);
  Parser->Beast.skip(IsForHead);
}

read_progress response_reader::fail(read_fault Reason) {
  Fault = Reason;
  return read_progress::Failed;
}

read_progress response_reader::read(std::string &Buffer) {
  if (Fault != read_fault::None)
    return read_progress::Failed;
  while (!Buffer.empty()) {
    const bool HasReadHead = Parser->Beast.is_header_done();
    const auto Error = consume(Parser->Beast, Buffer, ConsumedBytes,
                               HasReadHead ? nullptr : &Head);
    if (Error && Error != http::error::need_more)
      return fail(faultOf(Error));
    if (!HasReadHead && Parser->Beast.is_header_done() && !acceptHead())
      return fail(read_fault::Malformed);
    const bool IsDone = Parser->Beast.is_done();
    if ((!IsDone && Buffer.size() > MaxResponseHeaderBytes) ||
        hasExcessiveFraming(ConsumedBytes, bodyBytes(), MaxResponseHeaderBytes))
      return fail(read_fault::HeaderTooLarge);
    if (Parser->Beast.is_header_done() &&
        containsBrokenHead(Parser->Beast.get()))
      return fail(read_fault::Malformed);
    if (!IsDone)
      return read_progress::Incomplete;
    if (!hasAcceptableFields(Parser->Beast.get()))
      return fail(read_fault::HeaderTooLarge);
    if (isFinalStatus(Parser->Beast.get().result_int()))
      return read_progress::Complete;
    reset();
  }
  return read_progress::Incomplete;
}

/// Checks the head that was just read, and forgets its bytes. The parser joins
/// a line that begins with a blank to the one before it, so that the lines have
/// to be checked as they came.
bool response_reader::acceptHead() {
  const std::string Lines = std::exchange(Head, {});
  return hasOnlyFieldLines(Lines) && hasPossibleStatus(Parser->Beast.get()) &&
         isOnlyChunked(Parser->Beast.get());
}

read_progress response_reader::readEnd() {
  if (Fault != read_fault::None)
    return read_progress::Failed;
  if (!Parser->Beast.got_some() || !Parser->Beast.is_header_done())
    return fail(read_fault::Truncated);
  boost::beast::error_code Error;
  Parser->Beast.put_eof(Error);
  if (Error || !Parser->Beast.is_done())
    return fail(read_fault::Truncated);
  if (!hasAcceptableFields(Parser->Beast.get()))
    return fail(read_fault::HeaderTooLarge);
  return read_progress::Complete;
}

std::size_t response_reader::bodyBytes() const {
  return Parser->Beast.get().body().size();
}

response response_reader::take() {
  assert(Parser->Beast.is_done() && "the response is incomplete");
  auto Message = Parser->Beast.release();
  response Result;
  Result.Status = Message.result_int();
  Result.Headers = headersOf(Message);
  Result.KeepsAlive = Message.keep_alive();
  Result.Body = std::move(Message.body());
  reset();
  ConsumedBytes = 0;
  return Result;
}

} // namespace clementine::proxy
