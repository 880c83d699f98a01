#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <limits>
#include <string>
#include <vector>

using namespace clementine;
using namespace clementine::proxy;
using nlohmann::json;

namespace {

const node_record Valid{"n", 5,     "z", {"10.0.0.1", 7000},
                        "s", "i-1", 65,  instance_run{"i-0", 17}};

/// @returns the valid record's text with @p Value as its field at @p Path.
std::string with(const char *Path, const json &Value) {
  json Record = json::parse(Valid.encoded());
  Record[json::json_pointer(Path)] = Value;
  return Record.dump(-1, ' ', false, json::error_handler_t::ignore);
}

std::string nested(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

} // namespace

TEST_CASE("a record with a number out of range is refused, not truncated to "
          "another port, size or process") {
  constexpr auto Highest = std::numeric_limits<std::uint64_t>::max();
  const std::vector<json> OddNumbers = {
      -1, 0.5, 1e300, -1e300, Highest, "7", nullptr, true, json::array()};
  for (const char *Path :
       {"/port", "/slots", "/incarnation", "/departed/started"})
    for (const json &Number : OddNumbers) {
      CAPTURE(Path);
      CAPTURE(Number.dump());
      CHECK_FALSE(node_record::decode(with(Path, Number)));
    }
  for (const std::uint64_t Port : {0, 65536, 70000})
    CHECK_FALSE(node_record::decode(with("/port", Port)));
  CHECK_FALSE(node_record::decode(with("/slots", MaxInstanceSlots + 1)));
  CHECK_FALSE(node_record::decode(with("/slots", std::uint64_t{1} << 32U)));
  CHECK(node_record::decode(with("/slots", MaxInstanceSlots)));
  CHECK(node_record::decode(with("/slots", 0)));
  CHECK(node_record::decode(with("/port", 65535)));
}

TEST_CASE("a record of a process from the far future is refused: no later "
          "process of that node could replace it") {
  CHECK_FALSE(node_record::decode(
      with("/incarnation", std::numeric_limits<std::int64_t>::max())));
  CHECK_FALSE(
      node_record::decode(with("/incarnation", MaxWallMilliseconds + 1)));
  CHECK(node_record::decode(with("/incarnation", MaxWallMilliseconds)));
}

TEST_CASE("a very deeply nested record is refused and does not end the "
          "process") {
  for (const std::size_t Depth : {100, 10000, 1000000}) {
    const std::string Text = nested(Depth);
    CHECK_FALSE(node_record::decode(Text));
    CHECK_FALSE(node_record::decode(Text.substr(0, Depth)));
    CHECK_FALSE(node_record::decode(R"({"node":)" + Text + "}"));
    std::string Extra = Valid.encoded();
    Extra.pop_back();
    Extra.append(R"(,"x":)").append(Text).append("}");
    CHECK_FALSE(node_record::decode(Extra));
  }
  std::string Brackets = Valid.encoded();
  Brackets.pop_back();
  CHECK(node_record::decode(Brackets + R"(,"x":"[[\"[[)" +
                            std::string(1000, '{') + "\"}"));
}

TEST_CASE("a record that could not be passed on to other nodes is refused") {
  const std::string Long(MaxNameLength + 1, 'x');
  for (const char *Path : {"/node", "/zone", "/service", "/instance",
                           "/departed/instance", "/host"})
    for (const json &Name :
         {json(Long), json("\x01"), json("a\r\nb"), json(5), json(nullptr)}) {
      CAPTURE(Path);
      CHECK_FALSE(node_record::decode(with(Path, Name)));
    }
  CHECK_FALSE(
      node_record::decode(with("/host", "fe80::1%" + std::string(80, 'x'))));
  CHECK_FALSE(node_record::decode(with("/node", "")));
  CHECK_FALSE(node_record::decode(with("/departed", json::array())));
  CHECK_FALSE(node_record::decode(with("/departed", 5)));
}
