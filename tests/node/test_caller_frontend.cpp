#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "clementine_node/callers/caller_frontend.h"

#include <stdexcept>

using namespace clementine;

namespace {

/// Answers each request immediately, or refuses it as too busy.
class fake_listener final : public frontend_listener {
public:
  bool callerRequested(caller_request Request) override {
    Last = Request;
    if (Fails)
      throw std::runtime_error("planted fault");
    if (IsBusy)
      return false;
    Frontend->answerCaller({Request.Call,
                            {1, 2},
                            run_outcome::Completed,
                            refusal::None,
                            {200, {}, "whole"}});
    return true;
  }
  void upstreamAnnounced(const upstream_announcement &Upstream) override {
    Announced = Upstream;
  }
  void upstreamDrains() override { IsDraining = true; }

  caller_frontend *Frontend = nullptr;
  caller_request Last;
  upstream_announcement Announced;
  bool IsBusy = false;
  bool Fails = false;
  bool IsDraining = false;
};

struct frontend_fixture {
  frontend_fixture() : Frontend(Listener) { Listener.Frontend = &Frontend; }

  http_response send(const std::string &Path, const header_map &Headers,
                     const std::string &Body = "") {
    return Frontend.handle({"POST", Path, Headers, Body});
  }

  fake_listener Listener;
  caller_frontend Frontend;
};

} // namespace

TEST_CASE_FIXTURE(frontend_fixture, "a request is passed on with its headers") {
  const http_response Response =
      send("/call/desk/book", {{"clementine-caller", "mobile"},
                               {"Idempotency-Key", "k"},
                               {"Clementine-Send", "again"},
                               {"Clementine-Timeout-Ms", "250"}});
  CHECK(Response.Status == 200);
  CHECK(Response.Body == "whole");
  CHECK(Response.Headers.at("Clementine-Outcome") == "completed");
  CHECK(Listener.Last.Caller == "mobile");
  CHECK(Listener.Last.Send == send_number::Again);
  CHECK(Listener.Last.Timeout == std::chrono::milliseconds(250));
  CHECK(Frontend.waiting() == 0);
}

TEST_CASE_FIXTURE(frontend_fixture,
                  "invalid requests are rejected and not passed on") {
  CHECK(send("/call/desk", {}).Status == 400);
  CHECK(send("/call/desk/a/b", {}).Status == 400);
  CHECK(send("/call/desk/book", {{"Clementine-Send", "third"}}).Status == 400);
  CHECK(send("/call/desk/book", {{"Clementine-Timeout-Ms", "0"}}).Status ==
        400);
  CHECK(send("/call/desk/book", {{"Clementine-Request", "x"}}).Status == 400);
  CHECK(send("/elsewhere", {}).Status == 404);
  CHECK(Listener.Last == caller_request{});
}

TEST_CASE_FIXTURE(frontend_fixture,
                  "an exception ends one call as possibly run, and leaves none "
                  "waiting") {
  Listener.Fails = true;
  const http_response Response = send("/call/desk/book", {});
  CHECK(Response.Status == 504);
  CHECK(Response.Headers.at("Clementine-Outcome") == "unknown");
  CHECK(Frontend.waiting() == 0);
  Listener.Fails = false;
  CHECK(send("/call/desk/book", {}).Status == 200);
}

TEST_CASE_FIXTURE(
    frontend_fixture,
    "a busy node answers not-run only if no earlier send can have run") {
  Listener.IsBusy = true;
  const auto OutcomeOf = [&](const header_map &Headers) {
    return send("/call/desk/book", Headers).Headers.at("Clementine-Outcome");
  };
  CHECK(OutcomeOf({}) == "not-run");
  CHECK(OutcomeOf({{"Idempotency-Key", "k"}}) == "unknown");
  CHECK(OutcomeOf({{"Idempotency-Key", "k"}, {"Clementine-Send", "first"}}) ==
        "not-run");
  CHECK(Frontend.waiting() == 0);
}

TEST_CASE_FIXTURE(frontend_fixture,
                  "invalid upstream announcements are rejected") {
  const auto Announce = [&](const std::string &Json) {
    return send("/upstream/announce", {}, Json).Status;
  };
  CHECK(Announce("{") == 400);
  CHECK(Announce(R"({"service":"desk","host":"127.0.0.1"})") == 400);
  CHECK(Announce(R"({"service":"desk","host":"127.0.0.1","port":70000})") ==
        400);
  CHECK(Announce(R"({"service":"","host":"127.0.0.1","port":80})") == 400);
  CHECK(Listener.Announced == upstream_announcement{});
  CHECK(Announce(R"({"service":"desk","host":"127.0.0.1","port":80})") == 200);
  CHECK(Listener.Announced.Address == endpoint{"127.0.0.1", 80});
  CHECK(send("/upstream/drain", {}).Status == 200);
  CHECK(Listener.IsDraining);
}
