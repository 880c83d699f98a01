#include "clementine_proxy/model/instance_record.h"

#include "clementine_proxy/model/input_text.h"
#include "clementine_proxy/model/json_text.h"
#include "clementine_proxy/model/message_limits.h"

#include <boost/asio/ip/address.hpp>

#include <limits>
#include <stdexcept>

namespace clementine::proxy {

using nlohmann::json;

namespace {

constexpr std::uint64_t MaxPort = 65535;
/// Of an instance; a departure without a known start holds for every run.
constexpr std::uint64_t MaxStart = std::numeric_limits<std::int64_t>::max();

bool isAddress(const std::string &Host) {
  boost::system::error_code Error;
  boost::asio::ip::make_address(Host, Error);
  return !Error && Host.size() <= MaxAddressLength;
}

/// @name nameIn, numberIn
/// The value of a field of @p Object.
/// @throws std::exception when it is missing, of another type or out of range.
std::string nameIn(const json &Object, const char *Field) {
  auto Text = Object.at(Field).get<std::string>();
  if (!isName(Text))
    throw std::out_of_range(Field);
  return Text;
}

template <class Number>
Number numberIn(const json &Object, const char *Field, std::uint64_t Highest) {
  return static_cast<Number>(unsignedOf(Object.at(Field), Highest).value());
}

} // namespace

std::string node_record::encoded() const {
  json Record{{"node", Node},         {"incarnation", Incarnation},
              {"zone", Zone},         {"host", Peer.Host},
              {"port", Peer.Port},    {"service", Service},
              {"instance", Instance}, {"slots", Slots}};
  if (Departed)
    Record["departed"] = {{"instance", Departed->Instance},
                          {"started", Departed->StartedAt}};
  return Record.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<node_record> node_record::decode(std::string_view Text) {
  const json Parsed = parseJson(Text);
  if (!Parsed.is_object())
    return std::nullopt;
  try {
    node_record Record;
    Record.Node = nameIn(Parsed, "node");
    Record.Incarnation =
        numberIn<std::uint64_t>(Parsed, "incarnation", MaxWallMilliseconds);
    Record.Zone = nameIn(Parsed, "zone");
    Record.Peer = {nameIn(Parsed, "host"),
                   numberIn<std::uint16_t>(Parsed, "port", MaxPort)};
    if (Record.Node.empty() || !isAddress(Record.Peer.Host) ||
        Record.Peer.Port == 0)
      return std::nullopt;
    Record.Service = nameIn(Parsed, "service");
    Record.Instance = nameIn(Parsed, "instance");
    Record.Slots = numberIn<std::uint32_t>(Parsed, "slots", MaxInstanceSlots);
    if (const auto Run = Parsed.find("departed"); Run != Parsed.end())
      Record.Departed =
          instance_run{nameIn(*Run, "instance"),
                       numberIn<std::int64_t>(*Run, "started", MaxStart)};
    return Record;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace clementine::proxy
