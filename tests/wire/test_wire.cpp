#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "clementine_wire/clementine_wire.h"

using namespace clementine;

namespace {

run_request sampleRequest() {
  run_request Request;
  Request.Run = {1, 2};
  Request.Context.Request = {3, 4};
  Request.Context.Caller = "temple-front";
  Request.Context.Key = "key-1";
  Request.Context.Importance = importance::Critical;
  Request.Context.Send = send_number::Again;
  Request.Context.RemainingMicroseconds = 1500000;
  Request.Service = "crematory-desk";
  Request.Operation = "reserve";
  Request.Claim = 9;
  Request.Payload = {"POST", {{"Content-Type", "text/plain"}}, "body"};
  return Request;
}

std::vector<peer_message> everyKind() {
  run_answer Answer;
  Answer.Run = {1, 2};
  Answer.Outcome = run_outcome::NotRun;
  Answer.Reason = refusal::Displaced;
  Answer.Answer = {200, {{"A", "b"}}, std::string(1000, 'x')};
  return {hello{{"node-1", 7}, 1, "nonce"},
          heartbeat{5, true},
          sampleRequest(),
          Answer,
          run_query{{1, 2}, "key", 3},
          run_not_found{{1, 2}},
          run_cancel{{1, 2}},
          bundle_fetch{12},
          bundle_transfer{std::string("\0\1\2", 3)}};
}

} // namespace

TEST_CASE("every message kind is unchanged after encoding and decoding") {
  CHECK(everyKind().size() == std::variant_size_v<peer_message>);
  for (const peer_message &Message : everyKind()) {
    const auto Bytes = encodeMessage(Message);
    REQUIRE(Bytes.has_value());
    const auto Decoded = decodeMessage(Bytes.value());
    REQUIRE(Decoded.has_value());
    CHECK(Decoded.value() == Message);
  }
}

TEST_CASE("every truncated message and every message with a trailing byte is "
          "refused") {
  for (const peer_message &Message : everyKind()) {
    const std::string Bytes = encodeMessage(Message).value();
    for (std::size_t Length = 0; Length < Bytes.size(); ++Length) {
      const auto Decoded = decodeMessage(Bytes.substr(0, Length));
      CHECK(Decoded.has_error());
    }
    CHECK(decodeMessage(Bytes + "x").error() == codec_error::TrailingBytes);
  }
}

TEST_CASE("unknown kinds, bad enumerators and oversized fields are refused") {
  CHECK(decodeMessage("\x7f").error() == codec_error::UnknownKind);
  run_answer Answer;
  Answer.Outcome = static_cast<run_outcome>(17);
  CHECK(encodeMessage(Answer).has_error());
  run_request Request = sampleRequest();
  Request.Payload.Body.resize(MaxBodyBytes + 1);
  CHECK(encodeMessage(Request).error() == codec_error::Malformed);
}

TEST_CASE(
    "decoding corrupted bytes never crashes and respects the field limits") {
  const bool Held = rc::check([] {
    const auto Kinds = everyKind();
    std::string Bytes =
        encodeMessage(Kinds[*rc::gen::inRange<std::size_t>(0, Kinds.size())])
            .value();
    const auto Changes = *rc::gen::inRange(1, 8);
    for (int Change = 0; Change < Changes; ++Change)
      Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
          *rc::gen::arbitrary<char>();
    const auto Decoded = decodeMessage(Bytes);
    if (Decoded.has_value())
      RC_ASSERT(encodeMessage(Decoded.value()).has_value());
  });
  CHECK(Held);
}
