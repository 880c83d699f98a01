#include "clementine_proxy/model/instance_record.h"

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

namespace clementine::proxy {

using nlohmann::json;

namespace {

bool isAddress(const std::string &Host) {
  boost::system::error_code Error;
  boost::asio::ip::make_address(Host, Error);
  return !Error;
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
  const json Parsed = json::parse(Text, nullptr, false);
  if (!Parsed.is_object())
    return std::nullopt;
  try {
    node_record Record;
    Record.Node = Parsed.at("node").get<std::string>();
    Record.Incarnation = Parsed.at("incarnation").get<std::uint64_t>();
    Record.Zone = Parsed.at("zone").get<std::string>();
    Record.Peer = {Parsed.at("host").get<std::string>(),
                   Parsed.at("port").get<std::uint16_t>()};
    if (!isAddress(Record.Peer.Host) || Record.Peer.Port == 0)
      return std::nullopt;
    Record.Service = Parsed.at("service").get<std::string>();
    Record.Instance = Parsed.at("instance").get<std::string>();
    Record.Slots = Parsed.at("slots").get<std::uint32_t>();
    if (const auto Run = Parsed.find("departed"); Run != Parsed.end())
      Record.Departed = instance_run{Run->at("instance").get<std::string>(),
                                     Run->at("started").get<std::int64_t>()};
    return Record;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace clementine::proxy
