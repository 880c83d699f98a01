#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "scripted_upstream.h"

#include <string>
#include <vector>

using namespace clementine;

namespace {

const std::string CompleteAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Own: yes\r\n\r\nok";

} // namespace

TEST_CASE("a complete response is returned with its status, headers and body") {
  scripted_upstream Server({CompleteAnswer});
  result_collector Collector;
  upstream_client Client({}, Collector);
  Client.start();
  Client.setUpstream(Server.address());
  Client.callUpstream(callOf(1, "POST"));
  const upstream_result Result = Collector.waitForResult();
  CHECK(Result.End == upstream_outcome::Answered);
  CHECK(Result.Answer.Status == 200);
  CHECK(Result.Answer.Body == "ok");
  CHECK(Result.Answer.Headers == std::vector<header_field>{{"X-Own", "yes"}});
}

TEST_CASE("a request is not resent when a reused connection closes") {
  for (const std::string Method : {"POST", "GET"}) {
    scripted_upstream Server({CompleteAnswer, ""});
    result_collector Collector;
    upstream_client Client({}, Collector);
    Client.start();
    Client.setUpstream(Server.address());
    Client.callUpstream(callOf(1, Method));
    CHECK(Collector.waitForResult().End == upstream_outcome::Answered);
    Client.callUpstream(callOf(2, Method));
    CHECK(Collector.waitForResult().End == upstream_outcome::Broken);
    Client.stop();
    CHECK(Server.Requests == 2);
  }
}

TEST_CASE(
    "a response that is truncated or delimited by connection close is broken") {
  const std::vector<std::string> Answers = {
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
      "HTTP/1.1 200 OK\r\n\r\nuntil the end",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
      "HTTP/1.1 2"};
  for (const std::string &Answer : Answers) {
    scripted_upstream Server({Answer});
    result_collector Collector;
    upstream_client Client({}, Collector);
    Client.start();
    Client.setUpstream(Server.address());
    Client.callUpstream(callOf(1, "POST"));
    CHECK(Collector.waitForResult().End == upstream_outcome::Broken);
  }
}

TEST_CASE("a 503 with outcome not-run is refused; without a connection nothing "
          "is sent") {
  scripted_upstream Server(
      {"HTTP/1.1 503 Busy\r\nClementine-Outcome: not-run\r\n"
       "Content-Length: 0\r\n\r\n"});
  result_collector Collector;
  upstream_client Client({}, Collector);
  Client.start();
  Client.callUpstream(callOf(1, "POST"));
  CHECK(Collector.waitForResult().End == upstream_outcome::NotSent);
  Client.setUpstream(Server.address());
  Client.callUpstream(callOf(2, "POST"));
  CHECK(Collector.waitForResult().End == upstream_outcome::Refused);
  Client.setUpstream({"127.0.0.1", 1});
  Client.callUpstream(callOf(3, "POST"));
  CHECK(Collector.waitForResult().End == upstream_outcome::NotSent);
}
