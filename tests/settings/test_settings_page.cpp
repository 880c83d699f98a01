#include <doctest/doctest.h>

#include "clementine_settings/clementine_settings.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

using namespace clementine;

namespace {

const std::filesystem::path SourceFolder = CLEMENTINE_SOURCE_DIR;

std::string contentOf(const std::filesystem::path &File) {
  std::ifstream Input(File);
  return {std::istreambuf_iterator<char>(Input), {}};
}

} // namespace

TEST_CASE("docs/SETTINGS.md contains the reference generated from the table") {
  const std::string Reference = settingsReference();
  const std::string Page = contentOf(SourceFolder / "docs" / "SETTINGS.md");
  INFO("the reference part of docs/SETTINGS.md has to be:\n", Reference);
  CHECK(Page.find(Reference) != std::string::npos);
  // Nothing may follow the reference, such as a setting that was removed.
  CHECK(Page.ends_with(Reference));
}

TEST_CASE("each setting occurs once in the table, with a default if and only "
          "if it is "
          "defaulted") {
  std::set<std::pair<std::string_view, std::string_view>> Keys;
  for (const setting &Setting : settingsTable()) {
    CAPTURE(Setting.Key);
    CHECK(Keys.emplace(Setting.Section, Setting.Key).second);
    CHECK_FALSE(Setting.Description.empty());
    CHECK((Setting.Presence == setting_presence::Defaulted) !=
          Setting.Default.empty());
  }
}

TEST_CASE(
    "the description of allowed values contains the range or list length") {
  const auto AllowedFor = [](std::string_view Key) {
    const auto Table = settingsTable();
    const auto Found =
        std::find_if(Table.begin(), Table.end(), [&](const setting &Setting) {
          return Setting.Key == Key;
        });
    REQUIRE(Found != Table.end());
    return allowedText(*Found);
  };
  CHECK(AllowedFor("share") == "a decimal number, from 0 to 1");
  CHECK(AllowedFor("limiter") == "learned, static or none");
  CHECK(AllowedFor("seeds").starts_with("a list of up to 64 elements"));
  CHECK(AllowedFor("peer_keys").starts_with("a list of up to 8 elements"));
}

TEST_CASE("the example settings files are valid") {
  const auto Folder = SourceFolder / "examples" / "settings";
  std::size_t Files = 0;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder)) {
    if (Entry.path().extension() != ".ini")
      continue;
    ++Files;
    std::ostringstream Output;
    CHECK_MESSAGE(checkSettings(Entry.path(), Output) == 0, Output.str());
  }
  CHECK(Files >= 2);
}

TEST_CASE("the settings of the baseline deployments are valid") {
  const std::string Base = R"([node]
name = a
data_centre = b
http_listen = 127.0.0.1:1000
peer_listen = 127.0.0.1:1001
gossip_listen = 127.0.0.1:1002
admin_listen = 127.0.0.1:1003
[upstream]
service = c
[security]
peer_keys = k:AQIDBAUGBwgJCgsMDQ4PEBESExQVFhcYGRobHB0eHyA=
)";
  for (const std::string Name : {"no-control", "static-limit"}) {
    std::ifstream File(std::string(CLEMENTINE_SOURCE_DIR) +
                       "/examples/deployments/node-" + Name + ".ini");
    REQUIRE(File.good());
    const std::string Overlay((std::istreambuf_iterator<char>(File)), {});
    const auto Settings = readSettings(Base + Overlay, Name);
    CAPTURE(Settings.has_error() ? Settings.error().Errors[0].text() : Name);
    CHECK(Settings.has_value());
  }
}
