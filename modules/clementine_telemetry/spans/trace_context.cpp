#include "clementine_telemetry/spans/trace_context.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace clementine {

namespace {

// The header is `version-trace-span-flags`; these are positions and lengths in
// it.
constexpr std::size_t VersionDigits = 2;
constexpr std::size_t TraceBegin = 3;
constexpr std::size_t WordDigits = 16;
constexpr std::size_t SpanBegin = 36;
constexpr std::size_t FlagsBegin = 53;
constexpr std::size_t FlagsDigits = 2;
constexpr std::size_t HeaderLength = 55;
constexpr std::array<std::size_t, 3> Dashes = {2, 35, 52};
constexpr std::size_t LongestHeader = 512;
constexpr std::uint64_t ForbiddenVersion = 0xff;
constexpr std::uint64_t SampledFlag = 0x01;

std::optional<std::uint64_t> parseHex(std::string_view Digits) {
  std::uint64_t Number = 0;
  for (const char Digit : Digits) {
    if (Digit >= '0' && Digit <= '9')
      Number = Number * 16 + static_cast<std::uint64_t>(Digit - '0');
    else if (Digit >= 'a' && Digit <= 'f')
      Number = Number * 16 + static_cast<std::uint64_t>(Digit - 'a' + 10);
    else
      return std::nullopt;
  }
  return Number;
}

std::string hexDigits(std::uint64_t Word) {
  std::array<char, WordDigits + 1> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%016llx",
                static_cast<unsigned long long>(Word));
  return Buffer.data();
}

bool hasValidLength(std::uint64_t Version, std::string_view Header) {
  if (Version == 0)
    return Header.size() == HeaderLength;
  return Header.size() == HeaderLength || Header[HeaderLength] == '-';
}

} // namespace

std::string trace_id::text() const { return hexDigits(High) + hexDigits(Low); }

std::string span_id::text() const { return hexDigits(Value); }

std::optional<trace_context> parseTraceparent(std::string_view Header) {
  if (Header.size() < HeaderLength || Header.size() > LongestHeader)
    return std::nullopt;
  const bool HasDashes =
      std::all_of(Dashes.begin(), Dashes.end(), [&](std::size_t Position) {
        return Header[Position] == '-';
      });
  const auto Version = parseHex(Header.substr(0, VersionDigits));
  const auto High = parseHex(Header.substr(TraceBegin, WordDigits));
  const auto Low = parseHex(Header.substr(TraceBegin + WordDigits, WordDigits));
  const auto Span = parseHex(Header.substr(SpanBegin, WordDigits));
  const auto Flags = parseHex(Header.substr(FlagsBegin, FlagsDigits));
  if (!HasDashes || !Version || !High || !Low || !Span || !Flags)
    return std::nullopt;
  if (*Version == ForbiddenVersion || !hasValidLength(*Version, Header))
    return std::nullopt;
  if ((*High == 0 && *Low == 0) || *Span == 0)
    return std::nullopt;
  return trace_context{{*High, *Low}, {*Span}, (*Flags & SampledFlag) != 0};
}

std::string formatTraceparent(const trace_context &Context) {
  return "00-" + Context.Trace.text() + "-" + Context.Span.text() +
         (Context.Sampled ? "-01" : "-00");
}

trace_id newTraceId(random_source &Random) {
  trace_id Id{Random.next(), Random.next()};
  // An all-zero id is invalid in W3C Trace Context.
  if (Id.High == 0 && Id.Low == 0)
    Id.Low = 1;
  return Id;
}

span_id newSpanId(random_source &Random) {
  return {std::max<std::uint64_t>(1, Random.next())};
}

} // namespace clementine
