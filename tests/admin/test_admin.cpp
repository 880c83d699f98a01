#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "clementine_admin/clementine_admin.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <system_error>
#include <thread>

using namespace clementine;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

node_status sampleStatus() {
  node_status Status;
  Status.Identity = {"fukuoka-hall-desk-1", 7};
  Status.DataCentre = "fukuoka";
  Status.Program = "0.1.0";
  Status.Bundle = {"takamori", 12, "abcd", "yuki", "night shift", 90s, 2s};
  Status.Members = {{{"fukuoka-hall-desk-1", 7},
                     "fukuoka",
                     "hall-desk",
                     {"127.0.1.1", 8000},
                     member_state::Leaving,
                     true}};
  Status.Upstreams = {{"hall-desk", "fukuoka-hall-desk-1", "fukuoka", true,
                       false, 3, 40, 5, admission_level::fromIndex(100), 25ms}};
  Status.Callers = {{"temple-front", "yuki", importance::Critical, 50.0,
                     std::nullopt, std::nullopt, 12.5, 2, 25, 9}};
  return Status;
}

struct fixture {
  http_response ask(const std::string &Path, const std::string &Method) {
    return Handler.handle({Method, Path, {}, {}});
  }
  json askJson(const std::string &Path) {
    const auto Answer = ask(Path, "GET");
    CHECK(Answer.Status == 200);
    CHECK(Answer.Headers.at("Content-Type") == "application/json");
    return json::parse(Answer.Body);
  }

  status_snapshot Snapshot;
  metrics_registry Metrics;
  admin_handler Handler{Snapshot, Metrics};
};

std::size_t append(char *Data, std::size_t Size, std::size_t Count,
                   void *Text) {
  static_cast<std::string *>(Text)->append(Data, Size * Count);
  return Size * Count;
}

struct http_answer {
  long Status = 0;
  std::string Body;
};

http_answer fetch(const std::string &Url, const std::string &PostBody) {
  http_answer Answer;
  CURL *Curl = curl_easy_init();
  curl_easy_setopt(Curl, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Curl, CURLOPT_WRITEFUNCTION, &append);
  curl_easy_setopt(Curl, CURLOPT_WRITEDATA, &Answer.Body);
  if (!PostBody.empty())
    curl_easy_setopt(Curl, CURLOPT_COPYPOSTFIELDS, PostBody.c_str());
  if (curl_easy_perform(Curl) == CURLE_OK)
    curl_easy_getinfo(Curl, CURLINFO_RESPONSE_CODE, &Answer.Status);
  curl_easy_cleanup(Curl);
  return Answer;
}

} // namespace

TEST_CASE_FIXTURE(fixture, "the views return 503 before the first status") {
  for (const std::string Path :
       {"/status", "/v1/bundle", "/v1/nodes", "/v1/upstreams", "/v1/callers"}) {
    CHECK(ask(Path, "GET").Status == 503);
    CHECK(ask(Path, "GET").Headers.contains("Retry-After"));
  }
  CHECK(ask("/metrics", "GET").Status == 200);
}

TEST_CASE_FIXTURE(fixture, "the JSON views show the status") {
  Snapshot.publish(sampleStatus());
  const auto Bundle = askJson("/v1/bundle");
  CHECK(Bundle["node"]["name"] == "fukuoka-hall-desk-1");
  CHECK(Bundle["bundle"]["version"] == 12);
  CHECK(Bundle["bundle"]["owner"] == "yuki");
  CHECK(Bundle["bundle"]["in_force_seconds"] == 90.0);
  CHECK(Bundle["bundle"]["confirmed_seconds_ago"] == 2.0);
  const auto Nodes = askJson("/v1/nodes");
  CHECK(Nodes["total"] == 1);
  CHECK(Nodes["nodes"][0]["state"] == "leaving");
  CHECK(Nodes["nodes"][0]["http"] == "127.0.1.1:8000");
  const auto Upstream = askJson("/v1/upstreams")["upstreams"][0];
  CHECK(Upstream["limit"] == 40);
  CHECK(Upstream["level"] == 100);
  CHECK(Upstream["mean_latency_seconds"] == 0.025);
  const auto Caller = askJson("/v1/callers")["callers"][0];
  CHECK(Caller["importance"] == "critical");
  CHECK(Caller["limits"]["rate_per_second"] == 50.0);
  CHECK(Caller["limits"]["concurrency"].is_null());
  CHECK(Caller["now"]["cost_per_second"] == 25.0);
}

TEST_CASE_FIXTURE(fixture, "the metrics follow the status") {
  auto Status = sampleStatus();
  Snapshot.publish(Status);
  const auto Shows = [this](const std::string &Line) {
    return ask("/metrics", "GET").Body.find("\n" + Line + "\n") !=
           std::string::npos;
  };
  for (const std::string Line :
       {"clementine_bundle_version 12",
        "clementine_bundle_confirmed_age_seconds 2",
        "clementine_members{state=\"leaving\"} 1",
        "clementine_members{state=\"alive\"} 0", "clementine_upstream_limit 40",
        "clementine_upstream_queued 5", "clementine_admission_level 100",
        "clementine_stopping 0"})
    CHECK_MESSAGE(Shows(Line), Line);
  Status.Bundle.reset();
  Status.Upstreams[0].Limit.reset();
  Snapshot.publish(Status);
  for (const std::string Line : {"clementine_bundle_version 0",
                                 "clementine_bundle_confirmed_age_seconds +Inf",
                                 "clementine_upstream_limit +Inf"})
    CHECK_MESSAGE(Shows(Line), Line);
}

TEST_CASE_FIXTURE(fixture,
                  "a node without a bundle shows null, not version 0") {
  auto Status = sampleStatus();
  Status.Bundle.reset();
  Snapshot.publish(Status);
  CHECK(askJson("/v1/bundle")["bundle"].is_null());
  CHECK(ask("/status", "GET").Body.find("The node has no bundle.") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(fixture, "the page escapes values that callers choose") {
  auto Status = sampleStatus();
  Status.Callers[0].Name = "<script>\"&";
  Snapshot.publish(Status);
  const auto Page = ask("/status", "GET");
  CHECK(Page.Headers.at("Content-Type") == "text/html; charset=utf-8");
  CHECK(Page.Body.find("<script>") == std::string::npos);
  CHECK(Page.Body.find("&lt;script&gt;&quot;&amp;") != std::string::npos);
  CHECK(Page.Body.find("100 of 511") != std::string::npos);
}

TEST_CASE_FIXTURE(fixture, "invalid UTF-8 still produces valid JSON") {
  auto Status = sampleStatus();
  Status.Callers[0].Owner = "\xff";
  Snapshot.publish(Status);
  CHECK(askJson("/v1/callers")["callers"][0]["owner"] == "\xef\xbf\xbd");
}

TEST_CASE_FIXTURE(fixture, "long lists are truncated and report it") {
  auto Status = sampleStatus();
  Status.Callers.resize(MaxListedEntries + 1, Status.Callers[0]);
  Snapshot.publish(Status);
  const auto Callers = askJson("/v1/callers");
  CHECK(Callers["callers"].size() == MaxListedEntries);
  CHECK(Callers["total"] == MaxListedEntries + 1);
  CHECK(Callers["truncated"] == true);
  CHECK(askJson("/v1/nodes")["truncated"] == false);
  CHECK(ask("/status", "GET").Body.find("4501 more are not shown") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(fixture, "unknown paths get 404 and other methods 405") {
  Snapshot.publish(sampleStatus());
  for (const std::string Path : {"/", "/status/", "/v1", "/v1/bundle/../x"}) {
    const auto Answer = ask(Path, "GET");
    CHECK(Answer.Status == 404);
    CHECK(Answer.Body.find("/v1/upstreams") != std::string::npos);
  }
  for (const std::string Method : {"POST", "PUT", "DELETE", "get"}) {
    const auto Answer = ask("/metrics", Method);
    CHECK(Answer.Status == 405);
    CHECK(Answer.Headers.at("Allow") == "GET, HEAD");
  }
  CHECK(ask("/metrics", "HEAD").Status == 200);
}

TEST_CASE("a reader gets consistent statuses while others are published") {
  status_snapshot Snapshot;
  Snapshot.publish(node_status());
  std::atomic<bool> Done{false};
  std::thread Publisher([&] {
    for (std::uint64_t Round = 1; Round <= 2'000; ++Round) {
      node_status Status;
      Status.Identity.Incarnation = Round;
      Status.Members.resize(Round % 10);
      Status.Upstreams.resize(Round % 10);
      Snapshot.publish(std::move(Status));
    }
    Done = true;
  });
  bool AreWhole = true;
  std::uint64_t Newest = 0;
  while (!Done) {
    const auto Status = Snapshot.status();
    AreWhole = AreWhole && Status->Members.size() == Status->Upstreams.size() &&
               Status->Identity.Incarnation >= Newest;
    Newest = Status->Identity.Incarnation;
  }
  Publisher.join();
  CHECK(AreWhole);
  CHECK(Snapshot.status()->Identity.Incarnation == 2'000);
}

TEST_CASE("the server responds over HTTP and rejects POST and large bodies") {
  status_snapshot Snapshot;
  metrics_registry Metrics;
  Snapshot.publish(sampleStatus());
  Metrics.counterFor("calls_total", "Calls.").add(3);
  std::unique_ptr<admin_server> Server;
  endpoint Listen{"127.0.0.1", 24500};
  for (; Listen.Port < 24600 && !Server; ++Listen.Port) {
    auto Candidate = std::make_unique<admin_server>(Listen, Snapshot, Metrics);
    try {
      Candidate->start();
    } catch (const std::system_error &) {
      continue;
    }
    Server = std::move(Candidate);
    break;
  }
  REQUIRE(Server);
  const std::string Url = "http://" + Listen.text();
  CHECK(fetch(Url + "/metrics", {}).Body.find("calls_total 3") !=
        std::string::npos);
  CHECK(json::parse(fetch(Url + "/v1/nodes?all=1", {}).Body)["total"] == 1);
  CHECK(fetch(Url + "/nothing", {}).Status == 404);
  CHECK(fetch(Url + "/status", "body").Status == 405);
  CHECK(fetch(Url + "/status", std::string(5'000, 'x')).Status == 413);
  Server->stop();
  CHECK(fetch(Url + "/metrics", {}).Status == 0);
}
