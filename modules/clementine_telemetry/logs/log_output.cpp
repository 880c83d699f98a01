#include "clementine_telemetry/logs/log_output.h"

#include "clementine_telemetry/logs/log_records.h"

#include <cassert>
#include <iostream>

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>

namespace clementine {

namespace {

namespace expressions = boost::log::expressions;
namespace sinks = boost::log::sinks;

using log_sink = sinks::asynchronous_sink<
    sinks::text_ostream_backend,
    sinks::bounded_fifo_queue<log_output::MostWaiting,
                              sinks::drop_on_overflow>>;

constexpr auto TimeFormat = "%Y-%m-%dT%H:%M:%S.%fZ";

void formatRecord(const boost::log::record_view &Record,
                  boost::log::formatting_ostream &Stream) {
  static const auto Time =
      expressions::stream
      << expressions::format_date_time<boost::posix_time::ptime>("TimeStamp",
                                                                 TimeFormat);
  Time(Record, Stream);
  const auto Level = boost::log::extract<log_level>("Severity", Record);
  const auto Prefix = boost::log::extract<std::string>("Channel", Record);
  if (Level)
    Stream << ' ' << logLevelName(*Level);
  if (Prefix)
    Stream << ' ' << *Prefix << ": ";
  Stream << Record[expressions::smessage];
}

} // namespace

struct log_output::sink {
  boost::shared_ptr<log_sink> Frontend;
};

log_output::log_output(std::shared_ptr<std::ostream> Stream,
                       log_level Threshold)
    : Sink(std::make_unique<sink>()) {
  assert(log_records::threshold() == log_records::NothingEnabled &&
         "one log output at a time");
  auto Backend = boost::make_shared<sinks::text_ostream_backend>();
  auto *Target = Stream.get();
  Backend->add_stream(boost::shared_ptr<std::ostream>(
      Target, [Kept = std::move(Stream)](std::ostream *) {}));
  Backend->auto_flush(true);
  Sink->Frontend = boost::make_shared<log_sink>(Backend);
  Sink->Frontend->set_formatter(&formatRecord);
  const auto Core = boost::log::core::get();
  Core->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
  Core->add_sink(Sink->Frontend);
  log_records::threshold() = static_cast<int>(Threshold);
}

log_output::~log_output() {
  log_records::threshold() = log_records::NothingEnabled;
  try {
    boost::log::core::get()->remove_sink(Sink->Frontend);
    Sink->Frontend->stop();
    Sink->Frontend->flush();
  } catch (...) {
    // The stream failed, and there is no other place to tell it.
  }
}

void log_output::flush() { Sink->Frontend->flush(); }

std::shared_ptr<std::ostream> standardErrorStream() {
  return {&std::clog, [](std::ostream *) {}};
}

std::shared_ptr<std::ostream> standardOutputStream() {
  return {&std::cout, [](std::ostream *) {}};
}

} // namespace clementine
