#include <doctest/doctest.h>

#include "clementine_telemetry/clementine_telemetry.h"

#include <mutex>
#include <regex>
#include <sstream>
#include <thread>

using namespace clementine;

namespace {

/// Captures the log in a string.
struct captured_log {
  explicit captured_log(log_level Threshold) : Output(Stream, Threshold) {}

  std::string text() {
    Output.flush();
    return Stream->str();
  }

  std::shared_ptr<std::ostringstream> Stream =
      std::make_shared<std::ostringstream>();
  log_output Output;
};

} // namespace

TEST_CASE("a record has time, level, prefix, sentence and request id") {
  captured_log Captured(log_level::Info);
  const logger Log("gate");
  Log.warning("The upstream is slow.",
              {log_field(request_id{1, 2}), {"limit", 40U}});
  CHECK(std::regex_match(
      Captured.text(),
      std::regex(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z warning gate: )"
                 R"(The upstream is slow\. )"
                 R"(request=00000000000000010000000000000002 limit=40\n)")));
}

TEST_CASE("records below the threshold are not written") {
  captured_log Captured(log_level::Warning);
  const logger Log("gate");
  Log.debug("hidden");
  Log.info("hidden");
  Log.error("shown");
  CHECK(logger::isEnabled(log_level::Warning));
  CHECK_FALSE(logger::isEnabled(log_level::Info));
  CHECK(Captured.text().find("hidden") == std::string::npos);
  CHECK(Captured.text().find("error gate: shown") != std::string::npos);
}

TEST_CASE("a value cannot forge a record and is truncated when long") {
  CHECK(log_field("caller", "a b").Text == "caller=\"a b\"");
  CHECK(log_field("caller", "").Text == "caller=\"\"");
  CHECK(log_field("caller", "x\n2026 error gate: \"y\"").Text ==
        R"(caller="x\x0a2026 error gate: \"y\"")");
  CHECK(log_field("body", std::string(9999, 'a')).Text.size() ==
        5 + log_field::LongestValue);
}

TEST_CASE("records are written only while an output exists") {
  const logger Log("gate");
  Log.error("lost");
  captured_log Captured(log_level::Info);
  Log.info("kept");
  CHECK(Captured.text().find("lost") == std::string::npos);
  CHECK(Captured.text().find("kept") != std::string::npos);
}

namespace {

/// Blocks in sync() until it is released.
class blocked_stream : public std::stringbuf {
public:
  void release() { Gate.unlock(); }
  blocked_stream() { Gate.lock(); }

protected:
  int sync() override {
    const std::lock_guard Lock(Gate);
    return std::stringbuf::sync();
  }

private:
  std::mutex Gate;
};

} // namespace

TEST_CASE("a blocked stream does not block loggers, and dropped records are "
          "reported") {
  blocked_stream Buffer;
  const std::uint64_t Before = log_output::dropped();
  constexpr std::size_t Surplus = 100;
  {
    log_output Output(std::make_shared<std::ostream>(&Buffer), log_level::Info);
    const logger Log("gate");
    Log.info("first");
    // The writer writes the first record and then blocks in the stream.
    while (Buffer.str().empty())
      std::this_thread::yield();
    for (std::size_t Count = 0; Count < log_output::MaxQueuedRecords + Surplus;
         ++Count)
      Log.info("one more");
    CHECK(log_output::dropped() - Before == Surplus);
    Buffer.release();
    while (Buffer.str().find("records dropped now=100 in_all=") ==
           std::string::npos)
      std::this_thread::yield();
  }
  CHECK(Buffer.str().find("one more") != std::string::npos);
}
