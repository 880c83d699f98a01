#include "clementine_proxy/peers/peer_messages.h"

#include "clementine_wire/codec/bounded_field.h"
#include "clementine_wire/codec/byte_buffers.h"

#include <boost/endian/conversion.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/variant.hpp>

#include <algorithm>
#include <cstring>
#include <istream>
#include <ostream>

namespace clementine {

template <class Archive> void serialize(Archive &Fields, endpoint &Value) {
  Fields(bounded_string{Value.Host, proxy::MaxAddressLength}, Value.Port);
}

template <class Archive> void serialize(Archive &Fields, request_id &Id) {
  Fields(Id.High, Id.Low);
}

} // namespace clementine

namespace cereal {

/// Serializes a header field.
template <class Archive>
void serialize(Archive &Fields, std::pair<std::string, std::string> &Header) {
  Fields(clementine::bounded_string{Header.first,
                                    clementine::proxy::MaxTextLength},
         clementine::bounded_string{Header.second,
                                    clementine::proxy::MaxTextLength});
}

} // namespace cereal

namespace clementine::proxy {

namespace {

constexpr std::size_t LengthBytes = 4;

bounded_string name(std::string &Text) { return {Text, MaxNameLength}; }
bounded_string text(std::string &Text) { return {Text, MaxTextLength}; }
bounded_string body(std::string &Text) { return {Text, MaxBodyLength}; }

bounded_list<std::pair<std::string, std::string>> headers(header_list &List) {
  return {List, MaxFieldCount};
}

template <class Archive>
void serializeDuration(Archive &Target, duration &Value) {
  auto Nanoseconds = static_cast<std::int64_t>(Value.count());
  Target(Nanoseconds);
  Value = duration(Nanoseconds);
}

} // namespace

template <class Archive>
void serialize(Archive &Target, weighted_service &Value) {
  Target(name(Value.Service), Value.Weight);
}

template <class Archive> void serialize(Archive &Target, route &Value) {
  Target(name(Value.Name), name(Value.Host), text(Value.Prefix),
         Value.IsIdempotent);
  serializeDuration(Target, Value.Timeout);
  serializeDuration(Target, Value.LatencyObjective);
  Target(Value.Priority, Value.MaxAttempts,
         bounded_list<weighted_service>{Value.Services, MaxServiceCount});
}

template <class Archive>
void serialize(Archive &Target, service_description &Value) {
  Target(name(Value.Name), Value.MaxConnections);
}

template <class Archive> void serialize(Archive &Target, caller_limits &Value) {
  Target(Value.MaxHeader, Value.MaxBody);
  serializeDuration(Target, Value.HeaderTimeout);
  serializeDuration(Target, Value.IdleTimeout);
}

template <class Archive>
void serialize(Archive &Target, routing_config &Value) {
  Target(Value.Version, bounded_list<route>{Value.Routes, MaxRouteCount},
         bounded_list<service_description>{Value.Services, MaxServiceCount},
         Value.Limits);
}

template <class Archive> void serialize(Archive &Target, node_record &Value) {
  Target(name(Value.Node), Value.Incarnation, name(Value.Zone), Value.Peer,
         name(Value.Service), name(Value.Instance), Value.Slots);
}

template <class Archive> void serialize(Archive &Target, request &Value) {
  Target(text(Value.Method), text(Value.Target), headers(Value.Headers),
         body(Value.Body), Value.KeepsAlive);
}

template <class Archive> void serialize(Archive &Target, response &Value) {
  Target(Value.Status, headers(Value.Headers), body(Value.Body),
         Value.KeepsAlive);
}

template <class Archive> void serialize(Archive &Target, gate_status &Value) {
  Target(name(Value.Instance), Value.Running, Value.Queued, Value.Limit,
         Value.IsReachable);
}

template <class Archive> void serialize(Archive &Target, peer_hello &Value) {
  Target(Value.Self, Value.ConfigVersion, Value.Gate);
}

template <class Archive>
void serialize(Archive &Target, attempt_request &Value) {
  Target(Value.Attempt, text(Value.RequestId), name(Value.Service),
         Value.Priority, Value.IsIdempotent, Value.HasLowestPriority,
         Value.TimeLeftMicroseconds, Value.Request);
}

template <class Archive> void serialize(Archive &Target, run_report &Value) {
  Target(Value.Attempt, Value.Outcome, Value.Cause, Value.ReachedInstance,
         Value.Response, Value.Gate, Value.ConfigVersion);
}

template <class Archive> void serialize(Archive &Target, run_query &Value) {
  Target(Value.Attempt);
}

template <class Archive> void serialize(Archive &Target, run_cancel &Value) {
  Target(Value.Attempt, Value.AbortsRunning);
}

template <class Archive> void serialize(Archive &Target, peer_probe &Value) {
  Target(Value.ConfigVersion);
}

template <class Archive> void serialize(Archive &Target, peer_status &Value) {
  Target(Value.ConfigVersion, Value.Gate);
}

template <class Archive> void serialize(Archive &, config_request &) {}

template <class Archive>
void serialize(Archive &Target, config_transfer &Value) {
  Target(Value.Config);
}

void reduceTimeLeft(peer_message &Message, duration Delay) {
  if (auto *AttemptRequest = std::get_if<attempt_request>(&Message))
    AttemptRequest->TimeLeftMicroseconds -=
        std::chrono::duration_cast<std::chrono::microseconds>(Delay).count();
}

template <class Archive> void serialize(Archive &Target, record_update &Value) {
  Target(Value.Record, Value.Revision);
}

std::string_view runOutcomeName(run_outcome Outcome) {
  switch (Outcome) {
  case run_outcome::Completed:
    return "completed";
  case run_outcome::NotRun:
    return "not-run";
  case run_outcome::Unknown:
    return "unknown";
  }
  return "invalid";
}

std::string_view runCauseName(run_cause Cause) {
  switch (Cause) {
  case run_cause::None:
    return "none";
  case run_cause::Overloaded:
    return "overloaded";
  case run_cause::LoadShed:
    return "held-back";
  case run_cause::TooLate:
    return "too-late";
  case run_cause::NoInstance:
    return "no-instance";
  case run_cause::Unreachable:
    return "unreachable";
  case run_cause::Rejected:
    return "rejected";
  case run_cause::Cancelled:
    return "cancelled";
  case run_cause::NoValidResponse:
    return "broken";
  case run_cause::LinkLost:
    return "link-lost";
  case run_cause::UnknownAttempt:
    return "unheard";
  }
  return "invalid";
}

namespace {

/// Bound on every time in a message; a longer one could overflow a calculation.
constexpr duration MaxTime = std::chrono::hours(24);
constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 999;

bool isBounded(duration Time) { return Time >= duration(0) && Time <= MaxTime; }

/// @name isPlausible
/// Whether a node can have sent the message: cereal checks the form of a frame
/// only.
template <class Message> bool isPlausible(const Message &) { return true; }

bool isPlausible(const attempt_request &Message) {
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  const auto Limit = duration_cast<microseconds>(MaxTime).count();
  return Message.TimeLeftMicroseconds >= -Limit &&
         Message.TimeLeftMicroseconds <= Limit;
}

bool isPlausible(const run_report &Message) {
  const unsigned Status = Message.Response.Status;
  return Message.Outcome <= run_outcome::Unknown &&
         Message.Cause <= run_cause::UnknownAttempt &&
         (Message.Outcome != run_outcome::Completed ||
          (Status >= MinStatus && Status <= MaxStatus));
}

bool isPlausible(const route &Route) {
  const auto HasWeight = [](const weighted_service &Each) {
    return Each.Weight > 0;
  };
  return isBounded(Route.Timeout) && isBounded(Route.LatencyObjective) &&
         std::ranges::any_of(Route.Services, HasWeight);
}

bool isPlausible(const config_transfer &Message) {
  const caller_limits &Limits = Message.Config.Limits;
  return isBounded(Limits.HeaderTimeout) && isBounded(Limits.IdleTimeout) &&
         std::ranges::all_of(Message.Config.Routes, [](const route &Each) {
           return isPlausible(Each);
         });
}

} // namespace

namespace {

template <class Archive>
void serializeDeparture(Archive &Fields, std::optional<instance_run> &Value) {
  instance_run Run = Value.value_or(instance_run{});
  bool IsPresent = Value.has_value();
  Fields(IsPresent, name(Run.Instance), Run.StartedAt);
  Value = IsPresent ? std::optional(Run) : std::nullopt;
}

/// @name serializeExtension
/// The fields of a message that were added after the first version; they stand
/// behind it in its frame, and are all missing in a frame of that version.
template <class Archive, class Message>
void serializeExtension(Archive &, Message &) {}

template <class Archive>
void serializeExtension(Archive &Fields, peer_hello &Value) {
  serializeDeparture(Fields, Value.Self.Departed);
  serializeDeparture(Fields, Value.ReceiverDeparture);
}

template <class Archive>
void serializeOrigin(Archive &Fields, attempt_origin &Value) {
  Fields(name(Value.Node), Value.Incarnation, Value.Number);
}

template <class Archive>
void serializeExtension(Archive &Fields, attempt_request &Value) {
  serializeOrigin(Fields, Value.Origin);
}

template <class Archive>
void serializeExtension(Archive &Fields, run_query &Value) {
  serializeOrigin(Fields, Value.Origin);
}

template <class Archive>
void serializeExtension(Archive &Fields, run_report &Value) {
  Fields(Value.IsProven);
}

template <class Archive>
void serializeExtension(Archive &Fields, record_update &Value) {
  serializeDeparture(Fields, Value.Record.Departed);
}

template <class Archive>
void serializeExtension(Archive &Fields, peer_status &Value) {
  serializeDeparture(Fields, Value.Departed);
}

/// @name serializeLaterExtension
/// The fields that were added after those of serializeExtension().
template <class Archive, class Message>
void serializeLaterExtension(Archive &, Message &) {}

template <class Archive>
void serializeLaterExtension(Archive &Fields, record_update &Value) {
  std::uint64_t Era = Value.Era.value_or(0);
  bool IsPresent = Value.Era.has_value();
  Fields(IsPresent, Era);
  Value.Era = IsPresent ? std::optional(Era) : std::nullopt;
}

} // namespace

std::string encodeFrame(const peer_message &Message,
                        std::chrono::microseconds SentAt) {
  std::string Frame(LengthBytes, '\0');
  {
    append_buffer Buffer(Frame);
    std::ostream Stream(&Buffer);
    cereal::PortableBinaryOutputArchive Archive(Stream);
    Archive(Message);
    Archive(std::int64_t{SentAt.count()});
    std::visit(
        [&Archive](auto Copy) {
          serializeExtension(Archive, Copy);
          serializeLaterExtension(Archive, Copy);
        },
        Message);
  }
  const auto Length = boost::endian::native_to_big(
      static_cast<std::uint32_t>(Frame.size() - LengthBytes));
  std::memcpy(Frame.data(), &Length, LengthBytes);
  return Frame;
}

frame_progress decodeFrame(const std::string &Buffer, std::size_t &Offset,
                           peer_message &Message) {
  std::optional<std::chrono::microseconds> SentAt;
  return decodeFrame(Buffer, Offset, Message, SentAt);
}

frame_progress decodeFrame(const std::string &Buffer, std::size_t &Offset,
                           peer_message &Message,
                           std::optional<std::chrono::microseconds> &SentAt,
                           std::size_t MaxBytes) {
  if (Buffer.size() - Offset < LengthBytes)
    return frame_progress::Incomplete;
  std::uint32_t Length = 0;
  std::memcpy(&Length, Buffer.data() + Offset, LengthBytes);
  Length = boost::endian::big_to_native(Length);
  if (Length > MaxBytes)
    return frame_progress::Malformed;
  if (Buffer.size() - Offset - LengthBytes < Length)
    return frame_progress::Incomplete;
  try {
    view_buffer Bytes(
        std::string_view(Buffer).substr(Offset + LengthBytes, Length));
    std::istream Stream(&Bytes);
    cereal::PortableBinaryInputArchive Archive(Stream);
    Archive(Message);
    SentAt.reset();
    if (Stream.peek() != std::istream::traits_type::eof()) {
      std::int64_t Microseconds = 0;
      Archive(Microseconds);
      SentAt.emplace(Microseconds);
    }
    if (Stream.peek() != std::istream::traits_type::eof()) {
      std::visit([&Archive](auto &Each) { serializeExtension(Archive, Each); },
                 Message);
      if (Stream.peek() != std::istream::traits_type::eof())
        std::visit(
            [&Archive](auto &Each) { serializeLaterExtension(Archive, Each); },
            Message);
    }
  } catch (const std::exception &) {
    return frame_progress::Malformed;
  }
  if (!std::visit([](const auto &Each) { return isPlausible(Each); }, Message))
    return frame_progress::Malformed;
  Offset += LengthBytes + Length;
  return frame_progress::Complete;
}

} // namespace clementine::proxy
