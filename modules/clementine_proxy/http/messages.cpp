#include "clementine_proxy/http/messages.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace clementine::proxy {

namespace {

constexpr std::array<std::string_view, 9> ConnectionHeaders = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",    "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect"};

constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;

void append(std::string &Text, const header_list &Headers) {
  for (const auto &[Name, Value] : Headers)
    Text.append(Name).append(": ").append(Value).append("\r\n");
}

} // namespace

std::optional<std::string_view> findHeader(const header_list &Headers,
                                           std::string_view Name) {
  for (const auto &[Key, Value] : Headers)
    if (boost::algorithm::iequals(Key, Name))
      return Value;
  return std::nullopt;
}

void removeHeader(header_list &Headers, std::string_view Name) {
  std::erase_if(Headers, [Name](const auto &Header) {
    return boost::algorithm::iequals(Header.first, Name);
  });
}

void removeConnectionHeaders(header_list &Headers) {
  std::vector<std::string> ListedHeaders;
  for (const auto &[Key, Value] : Headers) {
    if (!boost::algorithm::iequals(Key, "Connection"))
      continue;
    std::size_t Begin = 0;
    while (Begin <= Value.size()) {
      const std::size_t End = std::min(Value.find(',', Begin), Value.size());
      ListedHeaders.push_back(
          boost::algorithm::trim_copy(Value.substr(Begin, End - Begin)));
      Begin = End + 1;
    }
  }
  for (const std::string_view Name : ConnectionHeaders)
    removeHeader(Headers, Name);
  for (const std::string &Name : ListedHeaders)
    removeHeader(Headers, Name);
}

std::string serialized(const request &Request) {
  std::string Text;
  Text.reserve(Request.Body.size() + 512);
  Text.append(Request.Method).append(" ").append(Request.Target);
  Text.append(" HTTP/1.1\r\n");
  append(Text, Request.Headers);
  if (!Request.Body.empty() ||
      (Request.Method != "GET" && Request.Method != "HEAD" &&
       Request.Method != "DELETE"))
    Text.append("Content-Length: ")
        .append(std::to_string(Request.Body.size()))
        .append("\r\n");
  Text.append("\r\n").append(Request.Body);
  return Text;
}

std::string serialized(const response &Response, bool Closes, bool IsForHead) {
  std::string Text;
  Text.reserve(Response.Body.size() + 512);
  const auto Reason = boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(Response.Status));
  Text.append("HTTP/1.1 ").append(std::to_string(Response.Status)).append(" ");
  Text.append(Reason.data(), Reason.size()).append("\r\n");
  append(Text, Response.Headers);
  if (Closes)
    Text.append("Connection: close\r\n");
  const bool HasNoBody =
      Response.Status == NoContent || Response.Status == NotModified;
  if (!HasNoBody)
    Text.append("Content-Length: ")
        .append(std::to_string(Response.Body.size()))
        .append("\r\n");
  Text.append("\r\n");
  if (!HasNoBody && !IsForHead)
    Text.append(Response.Body);
  return Text;
}

} // namespace clementine::proxy
