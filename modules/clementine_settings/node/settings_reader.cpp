#include "clementine_settings/node/settings_reader.h"

#include "clementine_settings/ini/ini_document.h"
#include "clementine_settings/node/settings_table.h"
#include "clementine_settings/values/value_format.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <map>
#include <ostream>
#include <set>
#include <utility>

namespace clementine {

namespace {

/// The maximum number of characters of a value that an error shows.
constexpr std::size_t MaxShownValueLength = 120;

/// The maximum length of a secret's name in the key ring, in characters.
constexpr std::size_t MaxPeerKeyNameLength = 32;

constexpr std::string_view HiddenValue = "(hidden)";

constexpr std::string_view AllowedLineSyntax =
    "a comment that begins with ';' or '#', [section], or key = value, in "
    "printable ASCII";

/// In the order of the enumerators of ini_fault.
constexpr std::array<settings_fault, 7> IniFaults = {
    settings_fault::TextTooLarge,      settings_fault::LineTooLong,
    settings_fault::MalformedLine,     settings_fault::ForbiddenCharacter,
    settings_fault::KeyOutsideSection, settings_fault::DuplicateSection,
    settings_fault::DuplicateKey,
};

std::string shownValue(std::string_view Value, setting_secrecy Secrecy) {
  if (Secrecy == setting_secrecy::Secret && !Value.empty())
    return std::string(HiddenValue);
  if (Value.size() <= MaxShownValueLength)
    return std::string(Value);
  return std::string(Value.substr(0, MaxShownValueLength)) + "...";
}

const setting *findSetting(std::string_view Section, std::string_view Key) {
  const auto Table = settingsTable();
  const auto Found =
      std::find_if(Table.begin(), Table.end(), [&](const setting &Setting) {
        return Setting.Section == Section && Setting.Key == Key;
      });
  return Found == Table.end() ? nullptr : &*Found;
}

/// @returns the known keys of a section, or all sections if it is unknown.
std::string knownNames(std::string_view Section) {
  std::string Keys;
  std::string Sections;
  std::string_view Previous;
  for (const setting &Setting : settingsTable()) {
    if (Setting.Section == Section)
      Keys += (Keys.empty() ? "" : ", ") + std::string(Setting.Key);
    if (Setting.Section != Previous)
      Sections +=
          (Sections.empty() ? "[" : ", [") + std::string(Setting.Section) + "]";
    Previous = Setting.Section;
  }
  return Keys.empty() ? Sections : Keys;
}

std::uint64_t magnitude(std::uint64_t Number) { return Number; }
double magnitude(fraction Share) { return Share.Value; }
double magnitude(factor Factor) { return Factor.Value; }
std::int64_t magnitude(duration Span) { return Span.count(); }
std::uint64_t magnitude(byte_count Size) { return Size.Bytes; }

template <class Value>
concept ranged = requires(Value Candidate) {
  magnitude(Candidate);
};

template <ranged Value>
bool isInRange(const Value &Candidate, const setting &Setting) {
  const auto Lowest = value_format<Value>::parse(Setting.Lowest);
  const auto Highest = value_format<Value>::parse(Setting.Highest);
  return (!Lowest || magnitude(Candidate) >= magnitude(*Lowest)) &&
         (!Highest || magnitude(Candidate) <= magnitude(*Highest));
}

bool isInRange(const std::string &Name, const setting &Setting) {
  const auto Highest = value_format<std::uint64_t>::parse(Setting.Highest);
  return !Highest || Name.size() <= *Highest;
}

template <class Value>
bool isInRange(const std::vector<Value> &List, const setting &Setting) {
  const auto Highest = value_format<std::uint64_t>::parse(Setting.Highest);
  return !Highest || List.size() <= *Highest;
}

template <class Value>
bool isInRange(const Value & /*Candidate*/, const setting & /*Setting*/) {
  return true;
}

/// A value as written in the file or in the default.
struct written_value {
  std::uint32_t Line;
  std::string_view Text;
};

/// Fills in the settings and collects the errors.
///
/// It keeps references to the parsed text, which has to outlive it.
class settings_assembler {
public:
  explicit settings_assembler(std::string File) : File(std::move(File)) {}

  void addSyntaxErrors(const ini_document &Document) {
    for (const ini_error &Error : Document.Errors) {
      const auto Fault = IniFaults.at(static_cast<std::size_t>(Error.Fault));
      report(Fault, Error, secrecyOf(Error), allowedSyntax(Error.Fault));
    }
  }

  void addSections(const ini_document &Document) {
    for (const ini_section &Section : Document.Sections) {
      if (isKnownSection(Section.Name))
        continue;
      report(settings_fault::UnknownSection,
             ini_error{{}, Section.Line, Section.Name, {}, {}},
             setting_secrecy::Public, knownNames(Section.Name));
    }
  }

  void addEntries(const ini_document &Document) {
    for (const ini_entry &Entry : Document.Entries) {
      if (!isKnownSection(Entry.Section))
        continue;
      const setting *Setting = findSetting(Entry.Section, Entry.Key);
      if (Setting != nullptr)
        assign(*Setting, Entry.Value, Entry.Line);
      else
        report(settings_fault::UnknownKey,
               ini_error{{}, Entry.Line, Entry.Section, Entry.Key, Entry.Value},
               setting_secrecy::Public, knownNames(Entry.Section));
    }
  }

  void addDefaults() {
    for (const setting &Setting : settingsTable()) {
      if (Assigned.contains(&Setting))
        continue;
      if (Setting.Presence == setting_presence::Defaulted)
        assign(Setting, Setting.Default, 0);
      if (Setting.Presence == setting_presence::Required)
        reportAt(settings_fault::MissingKey, Setting, {}, 0,
                 allowedText(Setting));
    }
  }

  /// Checks settings against each other, if each one is valid by itself.
  void addConflicts() {
    if (!Errors.empty())
      return;
    checkListeners();
    checkNames("bundle", "trusted_keys", Settings.TrustedKeys);
    checkNames("security", "peer_keys", Settings.PeerKeys);
    checkPeerKeyNames();
  }

  result<node_settings, settings_errors> finish() {
    if (Errors.empty())
      return std::move(Settings);
    std::stable_sort(Errors.begin(), Errors.end(),
                     [](const settings_error &A, const settings_error &B) {
                       return A.Line < B.Line;
                     });
    return settings_errors{std::move(Errors)};
  }

private:
  static bool isKnownSection(std::string_view Name) {
    const auto Table = settingsTable();
    return std::any_of(Table.begin(), Table.end(), [&](const setting &Setting) {
      return Setting.Section == Name;
    });
  }

  static setting_secrecy secrecyOf(const ini_error &Error) {
    const setting *Setting = findSetting(Error.Section, Error.Key);
    return Setting == nullptr ? setting_secrecy::Public : Setting->Secrecy;
  }

  static std::string allowedSyntax(ini_fault Fault) {
    switch (Fault) {
    case ini_fault::TextTooLarge:
      return "at most " + std::to_string(MaxIniTextBytes) + " bytes";
    case ini_fault::LineTooLong:
      return "at most " + std::to_string(MaxIniLineBytes) + " bytes a line";
    case ini_fault::DuplicateSection:
      return "each section once";
    case ini_fault::DuplicateKey:
      return "each key once in its section";
    case ini_fault::KeyOutsideSection:
      return "keys below a section: " + knownNames({});
    default:
      return std::string(AllowedLineSyntax);
    }
  }

  void assign(const setting &Setting, std::string_view Text,
              std::uint32_t Line) {
    Assigned.emplace(&Setting, written_value{Line, Text});
    std::visit([&](auto Member) { assignTo(Member, Setting, Text, Line); },
               Setting.Member);
  }

  template <class Value>
  void assignTo(Value node_settings::*Member, const setting &Setting,
                std::string_view Text, std::uint32_t Line) {
    auto Parsed = value_format<Value>::parse(Text);
    if (!Parsed)
      return reportAt(settings_fault::MalformedValue, Setting, Text, Line,
                      allowedText(Setting));
    if (!isInRange(*Parsed, Setting))
      return reportAt(settings_fault::OutOfRange, Setting, Text, Line,
                      allowedText(Setting));
    Settings.*Member = std::move(*Parsed);
  }

  void checkListeners() {
    const std::array<std::pair<std::string_view, const endpoint *>, 3>
        TcpListeners = {{{"http_listen", &Settings.HttpListen},
                         {"peer_listen", &Settings.PeerListen},
                         {"admin_listen", &Settings.AdminListen}}};
    for (std::size_t Later = 1; Later < TcpListeners.size(); ++Later) {
      for (std::size_t Earlier = 0; Earlier < Later; ++Earlier) {
        if (*TcpListeners[Later].second != *TcpListeners[Earlier].second)
          continue;
        conflict("node", TcpListeners[Later].first,
                 TcpListeners[Later].second->text(),
                 "another port than " +
                     std::string(TcpListeners[Earlier].first) + " has");
      }
    }
  }

  void checkNames(std::string_view Section, std::string_view Key,
                  const std::vector<named_key> &Keys) {
    std::set<std::string_view> Names;
    for (const named_key &Named : Keys)
      if (!Names.insert(Named.Name).second)
        conflict(Section, Key, Named.Name, "each name once");
  }

  void checkPeerKeyNames() {
    for (const named_key &Key : Settings.PeerKeys)
      if (Key.Name.size() > MaxPeerKeyNameLength)
        conflict("security", "peer_keys", Key.Name,
                 "names of at most " + std::to_string(MaxPeerKeyNameLength) +
                     " characters");
  }

  void conflict(std::string_view Section, std::string_view Key,
                std::string_view Value, std::string Allowed) {
    const setting *Setting = findSetting(Section, Key);
    report(settings_fault::Conflict,
           ini_error{{},
                     Assigned.at(Setting).Line,
                     std::string(Section),
                     std::string(Key),
                     std::string(Value)},
           setting_secrecy::Public, std::move(Allowed));
  }

  void reportAt(settings_fault Fault, const setting &Setting,
                std::string_view Value, std::uint32_t Line,
                std::string Allowed) {
    report(Fault,
           ini_error{{},
                     Line,
                     std::string(Setting.Section),
                     std::string(Setting.Key),
                     std::string(Value)},
           Setting.Secrecy, std::move(Allowed));
  }

  void report(settings_fault Fault, const ini_error &Where,
              setting_secrecy Secrecy, std::string Allowed) {
    Errors.push_back({Fault, File, Where.Line, Where.Section, Where.Key,
                      shownValue(Where.Value, Secrecy), std::move(Allowed)});
  }

  const std::string File;
  node_settings Settings;
  std::map<const setting *, written_value> Assigned;
  std::vector<settings_error> Errors;
};

settings_errors unreadable(const std::string &File) {
  return {{{settings_fault::UnreadableFile,
            File,
            0,
            {},
            {},
            {},
            "the path of a readable file"}}};
}

} // namespace

result<node_settings, settings_errors> readSettings(std::string_view Text,
                                                    const std::string &File) {
  const ini_document Document = parseIni(Text);
  settings_assembler Assembler(File);
  Assembler.addSyntaxErrors(Document);
  Assembler.addSections(Document);
  Assembler.addEntries(Document);
  Assembler.addDefaults();
  Assembler.addConflicts();
  return Assembler.finish();
}

result<node_settings, settings_errors> loadSettings(const std::string &File) {
  std::ifstream Input(File, std::ios::binary);
  if (!Input)
    return unreadable(File);
  // Reading one byte more than the limit is enough to detect a file that is
  // too large.
  std::string Text(MaxIniTextBytes + 1, '\0');
  Input.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  if (Input.bad() || (Input.fail() && !Input.eof()))
    return unreadable(File);
  Text.resize(static_cast<std::size_t>(Input.gcount()));
  return readSettings(Text, File);
}

int checkSettings(const std::string &File, std::ostream &Output) {
  const auto Settings = loadSettings(File);
  if (Settings) {
    Output << File << ": the settings are valid\n";
    return SettingsValidExitCode;
  }
  for (const settings_error &Error : Settings.error().Errors)
    Output << Error.text() << "\n";
  return SettingsInvalidExitCode;
}

} // namespace clementine
