#include "users_platform.h"

#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <string>

using namespace clementine;
using namespace clementine::proxy;

namespace {

const auto Platform = makeUsersPlatform({"127.0.0.1", 1});

const char *const ValidReport = R"({"service":"s","address":"10.0.0.1:80",
  "zone":"z","slots":65,"state":"ready","sequence":4,"born":1700})";

/// @returns the instance that a report with @p Id registers, or nothing if the
/// report is refused.
std::optional<std::string> registeredBy(const std::string &Id) {
  const auto Decoded = Platform->decodeInstanceCall(
      {"POST", "/clementinecove/Instances.Heartbeat/" + Id, {}, ValidReport});
  if (!Decoded)
    return std::nullopt;
  instance_registration Registration("s", {"10.0.0.1", 80});
  Registration.report(std::get<instance_report>(Decoded.value()));
  node_record Record{"n", 5, "z", {"10.0.0.1", 7000}, "s", "", 65};
  Record.Instance = Registration.ready()->Instance;
  Record.Departed = instance_run{Record.Instance, 1};
  std::string Text;
  CHECK_NOTHROW(Text = Record.encoded());
  CHECK(node_record::decode(Text) == Record);
  std::string Frame;
  CHECK_NOTHROW(Frame = encodeFrame(peer_hello{Record, 1, {Record.Instance}}));
  return Record.Instance;
}

const char *const OddIds[] = {"i-7\xe1",      "\xff",  "i-\xc3", "\xc0\xaf",
                              "\xed\xa0\x80", "i\x01", "i\x7f"};

} // namespace

TEST_CASE("a report whose id is not UTF-8, has control characters or is too "
          "long is refused and leaves the node's record writable") {
  for (const std::string Id : OddIds) {
    CAPTURE(Id);
    CHECK(registeredBy(Id) == std::nullopt);
  }
  CHECK(registeredBy(std::string(MaxNameLength + 1, 'i')) == std::nullopt);
  for (const std::string &Id :
       {std::string("i-7"), std::string("i-\xc3\xa9"),
        std::string("\xf0\x9f\x98\x80"), std::string(MaxNameLength, 'i')})
    CHECK(registeredBy(Id) == Id);
}

TEST_CASE("a deregistration with such an id is refused") {
  const auto Decode = [](const std::string &Id) {
    return Platform->decodeInstanceCall(
        {"POST", "/clementinecove/Instances.Deregister/" + Id, {}, ""});
  };
  CHECK(Decode("i-7"));
  for (const std::string Id : OddIds)
    CHECK_FALSE(Decode(Id));
  CHECK_FALSE(Decode(std::string(MaxNameLength + 1, 'i')));
}

TEST_CASE("a record can be encoded whatever its names are") {
  node_record Record{"n\xff", 5,       "z\xe1", {"10.0.0.1", 7000},
                     "s\xc3", "i\xc0", 65};
  Record.Departed = instance_run{"i\xff", 1};
  CHECK_NOTHROW(Record.encoded());
}
