#include "clementine_telemetry/logs/logger.h"

#include "clementine_telemetry/logs/log_records.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_channel_logger.hpp>

namespace clementine {

namespace {

constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info",
                                                        "warning", "error"};

bool isPlain(char Character) {
  return Character > ' ' && Character < 127 && Character != '"' &&
         Character != '\\' && Character != '=';
}

void appendEscaped(std::string &Text, char Character) {
  if (Character == '"' || Character == '\\') {
    Text += '\\';
    Text += Character;
    return;
  }
  if (Character >= ' ' && Character < 127) {
    Text += Character;
    return;
  }
  std::array<char, 5> Escape{};
  std::snprintf(Escape.data(), Escape.size(), "\\x%02x",
                static_cast<unsigned>(static_cast<unsigned char>(Character)));
  Text += Escape.data();
}

std::string fieldText(std::string_view Key, std::string_view Value) {
  std::string Text(Key);
  Text += '=';
  const std::string_view Shown = Value.substr(0, log_field::LongestValue);
  if (!Shown.empty() && std::all_of(Shown.begin(), Shown.end(), isPlain))
    return Text.append(Shown);
  Text += '"';
  for (const char Character : Shown)
    appendEscaped(Text, Character);
  return Text + '"';
}

} // namespace

std::atomic<int> &log_records::threshold() {
  static std::atomic<int> Threshold{NothingEnabled};
  return Threshold;
}

std::atomic<std::uint64_t> &log_records::dropped() {
  static std::atomic<std::uint64_t> Dropped{0};
  return Dropped;
}

std::string_view logLevelName(log_level Level) {
  return LevelNames.at(static_cast<std::size_t>(Level));
}

log_field::log_field(std::string_view Key, std::string_view Value)
    : Text(fieldText(Key, Value)) {}

log_field::log_field(std::string_view Key, const char *Value)
    : log_field(Key, std::string_view(Value)) {}

log_field::log_field(const request_id &Id)
    : log_field("request", std::string_view(Id.text())) {}

struct logger::source {
  boost::log::sources::severity_channel_logger_mt<log_level, std::string>
      Records;
};

logger::logger(std::string_view Prefix)
    : Source(std::make_unique<source>(
          source{boost::log::sources::severity_channel_logger_mt<log_level,
                                                                 std::string>(
              boost::log::keywords::channel = std::string(Prefix))})) {}

logger::~logger() = default;

bool logger::isEnabled(log_level Level) {
  return static_cast<int>(Level) >=
         log_records::threshold().load(std::memory_order_relaxed);
}

void logger::write(log_level Level, std::string_view Sentence,
                   fields Fields) const {
  if (!isEnabled(Level))
    return;
  auto Record =
      Source->Records.open_record(boost::log::keywords::severity = Level);
  if (!Record)
    return;
  boost::log::record_ostream Stream(Record);
  Stream << Sentence;
  for (const log_field &Field : Fields)
    Stream << ' ' << Field.Text;
  Stream.flush();
  Source->Records.push_record(std::move(Record));
}

} // namespace clementine
