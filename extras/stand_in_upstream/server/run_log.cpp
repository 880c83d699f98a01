#include "stand_in_upstream/server/run_log.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <stdexcept>

namespace clementine::stand_in {

namespace {

constexpr std::size_t MaxNonceLength = 64;

/// Begins of further keys are only counted as dropped, to bound memory.
constexpr std::size_t MaxKeys = 1000000;

constexpr mode_t JournalMode = 0644;

int openJournal(const std::string &Path) {
  if (Path.empty())
    return -1;
  const int Descriptor = ::open(
      Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, JournalMode);
  if (Descriptor < 0)
    throw std::runtime_error("cannot open the journal: " + Path);
  return Descriptor;
}

std::int64_t microseconds(duration Span) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Span).count();
}

std::string tokenOrDash(const std::string &Text) {
  const std::string Token = nonceOf(Text);
  return Token.empty() ? "-" : Token;
}

std::string fields(const run_key &Key) {
  return Key.Operation + ' ' + tokenOrDash(Key.IdempotencyKey) + ' ' +
         tokenOrDash(Key.Nonce);
}

} // namespace

std::string nonceOf(std::string_view Body) {
  const auto *End = std::find_if(
      Body.begin(), Body.begin() + std::min(Body.size(), MaxNonceLength),
      [](unsigned char Character) { return !std::isgraph(Character); });
  return {Body.begin(), End};
}

run_log::run_log(const std::string &JournalPath, const clock &Time)
    : Time(Time), Journal(openJournal(JournalPath)) {}

run_log::~run_log() {
  if (Journal >= 0)
    ::close(Journal);
}

void run_log::begin(const run_key &Key) {
  const std::lock_guard Lock(Mutex);
  writeLine("begin " + fields(Key) + ' ' +
            std::to_string(microseconds(Time.now().time_since_epoch())) + '\n');
  if (Runs.size() >= MaxKeys && !Runs.contains(Key)) {
    ++Dropped;
    return;
  }
  ++Runs[Key].Begun;
}

void run_log::end(const run_key &Key, bool IsCompleted, duration Spent) {
  const std::lock_guard Lock(Mutex);
  writeLine((IsCompleted ? "completed " : "aborted ") + fields(Key) + ' ' +
            std::to_string(microseconds(Spent)) + '\n');
  Busy += Spent;
  if (IsCompleted)
    BusyOnCompleted += Spent;
  const auto Found = Runs.find(Key);
  if (Found == Runs.end())
    return;
  Found->second.Completed += IsCompleted ? 1 : 0;
  Found->second.Busy += Spent;
}

std::string run_log::json() const {
  const std::lock_guard Lock(Mutex);
  nlohmann::json Rows = nlohmann::json::array();
  for (const auto &[Key, Counts] : Runs)
    Rows.push_back({Key.Operation, Key.IdempotencyKey, Key.Nonce, Counts.Begun,
                    Counts.Completed, microseconds(Counts.Busy)});
  const nlohmann::json Record = {
      {"busy_us", microseconds(Busy)},
      {"busy_on_completed_us", microseconds(BusyOnCompleted)},
      {"dropped", Dropped},
      {"runs", Rows}};
  return Record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void run_log::writeLine(const std::string &Line) {
  if (Journal < 0)
    return;
  // One write() per line, so that a killed process leaves only complete lines.
  const ssize_t Written = ::write(Journal, Line.data(), Line.size());
  if (Written != static_cast<ssize_t>(Line.size()))
    throw std::runtime_error("cannot write to the journal");
}

} // namespace clementine::stand_in
