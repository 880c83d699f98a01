#include "clementine_telemetry/logs/log_output.h"

#include "clementine_telemetry/logs/log_records.h"

#include <cassert>
#include <condition_variable>
#include <iostream>
#include <mutex>
#include <thread>

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/keywords/start_thread.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>

namespace clementine {

namespace {

namespace expressions = boost::log::expressions;
namespace sinks = boost::log::sinks;

/// Overflow strategy that drops and counts a record when the queue is full.
/// Boost.Log requires these three functions by name.
struct count_on_overflow {
  // NOLINTBEGIN(readability-identifier-naming): the names are Boost.Log's.
  template <class Lock>
  static bool on_overflow(const boost::log::record_view & /*Record*/,
                          Lock & /*Held*/) {
    ++log_records::dropped();
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
  // NOLINTEND(readability-identifier-naming)
};

using log_sink = sinks::asynchronous_sink<
    sinks::text_ostream_backend,
    sinks::bounded_fifo_queue<log_output::MaxQueuedRecords, count_on_overflow>>;

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

/// The queue of records and the thread that writes them in batches. Waking the
/// thread for every record would cost more than writing the record.
struct log_output::sink {
  explicit sink(std::shared_ptr<std::ostream> Stream)
      : Stream(std::move(Stream)),
        Backend(boost::make_shared<sinks::text_ostream_backend>()),
        Frontend(boost::make_shared<log_sink>(
            Backend, boost::log::keywords::start_thread = false)) {
    Backend->add_stream(boost::shared_ptr<std::ostream>(this->Stream.get(),
                                                        [](std::ostream *) {}));
    Frontend->set_formatter(&formatRecord);
  }

  /// Writes the queued records. The frontend's own flush() would block threads
  /// that log until the stream has accepted everything.
  void write() {
    const std::lock_guard Lock(WriteMutex);
    Frontend->feed_records();
    Stream->flush();
  }

  void writeUntilStopped() {
    const logger Log("log");
    std::uint64_t Reported = log_records::dropped();
    std::unique_lock Lock(Mutex);
    while (
        !Changed.wait_for(Lock, WriteInterval, [this] { return Stopping; })) {
      Lock.unlock();
      write();
      if (const std::uint64_t Dropped = log_records::dropped();
          Dropped != Reported) {
        write(); // Makes room in the full queue for the record.
        Log.warning("records dropped",
                    {{"now", Dropped - Reported}, {"in_all", Dropped}});
        Reported = Dropped;
      }
      Lock.lock();
    }
  }

  void stop() {
    {
      const std::lock_guard Lock(Mutex);
      Stopping = true;
    }
    Changed.notify_all();
    Writer.join();
    write();
  }

  const std::shared_ptr<std::ostream> Stream;
  const boost::shared_ptr<sinks::text_ostream_backend> Backend;
  const boost::shared_ptr<log_sink> Frontend;
  std::mutex WriteMutex;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  std::thread Writer;
};

log_output::log_output(std::shared_ptr<std::ostream> Stream,
                       log_level Threshold)
    : Sink(std::make_unique<sink>(std::move(Stream))) {
  assert(log_records::threshold() == log_records::NothingEnabled &&
         "one log output at a time");
  const auto Core = boost::log::core::get();
  Core->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
  Core->add_sink(Sink->Frontend);
  log_records::threshold() = static_cast<int>(Threshold);
  Sink->Writer = std::thread([this] { Sink->writeUntilStopped(); });
}

log_output::~log_output() {
  log_records::threshold() = log_records::NothingEnabled;
  try {
    boost::log::core::get()->remove_sink(Sink->Frontend);
    Sink->stop();
  } catch (...) {
    // The stream failed, and there is no other place to report it.
  }
}

void log_output::flush() { Sink->write(); }

std::uint64_t log_output::dropped() { return log_records::dropped(); }

std::shared_ptr<std::ostream> standardErrorStream() {
  return {&std::clog, [](std::ostream *) {}};
}

std::shared_ptr<std::ostream> standardOutputStream() {
  return {&std::cout, [](std::ostream *) {}};
}

} // namespace clementine
