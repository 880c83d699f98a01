/// Answers of a store in trouble, which say nothing of what was done.

#include "clementine_platform/clementine_platform.h"
#include "scripted_server.h"

#include <doctest/doctest.h>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

const std::string Committed = R"({"header":{"revision":"7"},"succeeded":true})";

/// @returns the error of a write that is answered with @p Answer.
platform_error commitErrorOf(const std::string &Answer) {
  CAPTURE(Answer);
  scripted_server Server({{Answer, scripted_server::after::Close}});
  http_channel::limits Limits;
  Limits.CallTimeout = 10s;
  etcd_platform_store Store(Server.url(), Limits);
  platform_transaction Transaction;
  Transaction.Puts = {{"k", "v", 0}};
  const auto Commit = Store.commit(Transaction);
  REQUIRE(Commit.has_error());
  return Commit.error();
}

/// @returns an answer with a body that fits, and with @p Line in its head.
std::string answerWith(const std::string &Status, const std::string &Line,
                       bool IsLast) {
  const std::string Length =
      "Content-Length: " + std::to_string(Committed.size()) + "\r\n";
  return "HTTP/1.1 " + Status + "\r\nX-Own: yes\r\n" + (IsLast ? Length : "") +
         Line + "\r\n" + (IsLast ? "" : Length) + "\r\n" + Committed;
}

} // namespace

TEST_CASE("a status that no answer of the store can have does not say that a "
          "write was not applied") {
  for (const int Status : {0, 1, 99, 101, 202, 204, 302, 600, 999}) {
    CAPTURE(Status);
    std::string Answer = scripted_server::httpAnswer(Status, Committed);
    Answer.replace(Answer.find(' ') + 1, Answer.find(' ', 9) - 9,
                   std::to_string(1000 + Status).substr(1));
    const platform_error Error = commitErrorOf(Answer);
    CHECK(Error.Cause == platform_cause::MalformedAnswer);
    CHECK(Error.Effect == platform_effect::Unknown);
  }
}

TEST_CASE(
    "a head with a line that is no field line is no answer of the store") {
  for (const std::string Line :
       {"X-Name : v", " X-Name: v", "X-\1Name: v", "X Name: v", "X-Name", ": v",
        "Content-Length : 5", " Content-Length: 5"})
    for (const std::string Status : {"200 OK", "400 Refused"})
      for (const bool IsLast : {false, true}) {
        const auto Error = commitErrorOf(answerWith(Status, Line, IsLast));
        CHECK(Error.Cause == platform_cause::MalformedAnswer);
        CHECK(Error.Effect == platform_effect::Unknown);
      }
}
