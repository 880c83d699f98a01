#include "clementine_proxy/settings/proxy_settings.h"

#include "clementine_settings/ini/ini_document.h"
#include "clementine_settings/values/value_format.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <sstream>
#include <variant>

namespace clementine::proxy {

namespace {

using member =
    std::variant<std::string proxy_settings::*, endpoint proxy_settings::*,
                 std::optional<endpoint> proxy_settings::*,
                 duration proxy_settings::*, fraction proxy_settings::*,
                 std::uint64_t proxy_settings::*,
                 log_threshold proxy_settings::*>;

/// A key of the settings file and the member that it sets.
struct entry {
  std::string_view Section;
  std::string_view Key;
  member Member;
  bool IsRequired = true;
};

using settings = proxy_settings;

constexpr std::array<entry, 16> Table = {{
    {"node", "name", &settings::Name},
    {"node", "zone", &settings::Zone},
    {"node", "stop_grace", &settings::StopGrace, false},
    {"node", "log_level", &settings::LogLevel, false},
    {"instance", "service", &settings::Service},
    {"instance", "address", &settings::InstanceAddress},
    {"listen", "outbound", &settings::OutboundListen},
    {"listen", "control", &settings::ControlListen},
    {"listen", "ready", &settings::ReadyListen},
    {"listen", "peer", &settings::PeerListen},
    {"listen", "peer_advertised", &settings::PeerAdvertised, false},
    {"listen", "metrics", &settings::MetricsListen},
    {"listen", "max_connections", &settings::MaxConnections, false},
    {"store", "address", &settings::StoreAddress},
    {"repeats", "window", &settings::RetryWindow, false},
    {"repeats", "ratio", &settings::RetryRatio, false},
}};

const entry *find(std::string_view Section, std::string_view Key) {
  const auto *Found =
      std::find_if(Table.begin(), Table.end(), [&](const entry &Each) {
        return Each.Section == Section && Each.Key == Key;
      });
  return Found == Table.end() ? nullptr : Found;
}

settings_fault faultOf(ini_fault Fault) {
  switch (Fault) {
  case ini_fault::TextTooLarge:
    return settings_fault::TextTooLarge;
  case ini_fault::LineTooLong:
    return settings_fault::LineTooLong;
  case ini_fault::MalformedLine:
    return settings_fault::MalformedLine;
  case ini_fault::ForbiddenCharacter:
    return settings_fault::ForbiddenCharacter;
  case ini_fault::KeyOutsideSection:
    return settings_fault::KeyOutsideSection;
  case ini_fault::DuplicateSection:
    return settings_fault::DuplicateSection;
  case ini_fault::DuplicateKey:
    return settings_fault::DuplicateKey;
  }
  return settings_fault::MalformedLine;
}

/// Parses @p Text into the member that @p Entry refers to.
/// @returns the expected form if the value is malformed, otherwise nothing.
std::optional<std::string_view>
assign(proxy_settings &Settings, const entry &Entry, std::string_view Text) {
  return std::visit(
      [&]<class Value>(
          Value proxy_settings::*Member) -> std::optional<std::string_view> {
        auto Parsed = value_format<Value>::parse(Text);
        if (!Parsed)
          return value_format<Value>::Form;
        Settings.*Member = std::move(*Parsed);
        return std::nullopt;
      },
      Entry.Member);
}

} // namespace

result<proxy_settings, settings_errors>
readProxySettings(std::string_view Text, const std::string &File) {
  const ini_document Document = parseIni(Text);
  proxy_settings Settings;
  settings_errors Faults;
  for (const ini_error &Error : Document.Errors)
    Faults.Errors.push_back({faultOf(Error.Fault), File, Error.Line,
                             Error.Section, Error.Key, Error.Value, ""});
  std::set<const entry *> Seen;
  for (const ini_entry &Entry : Document.Entries) {
    const entry *Known = find(Entry.Section, Entry.Key);
    if (Known == nullptr) {
      Faults.Errors.push_back({settings_fault::UnknownKey, File, Entry.Line,
                               Entry.Section, Entry.Key, Entry.Value, ""});
      continue;
    }
    Seen.insert(Known);
    if (const auto Form = assign(Settings, *Known, Entry.Value))
      Faults.Errors.push_back({settings_fault::MalformedValue, File, Entry.Line,
                               Entry.Section, Entry.Key, Entry.Value,
                               std::string(*Form)});
  }
  for (const entry &Entry : Table)
    if (Entry.IsRequired && !Seen.contains(&Entry))
      Faults.Errors.push_back({settings_fault::MissingKey, File, 0,
                               std::string(Entry.Section),
                               std::string(Entry.Key), "", ""});
  if (!Faults.Errors.empty())
    return Faults;
  return Settings;
}

result<proxy_settings, settings_errors>
loadProxySettings(const std::string &File) {
  std::ifstream Stream(File, std::ios::binary);
  std::ostringstream Text;
  if (!Stream || !(Text << Stream.rdbuf()))
    return settings_errors{
        {{settings_fault::UnreadableFile, File, 0, "", "", "", ""}}};
  return readProxySettings(Text.str(), File);
}

} // namespace clementine::proxy
