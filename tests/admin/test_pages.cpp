#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

#include "clementine_wire/messages/messages.h"

using namespace clementine;

namespace {

const std::filesystem::path SourceFolder = CLEMENTINE_SOURCE_DIR;

std::string contentOf(const std::filesystem::path &File) {
  std::ifstream Input(File);
  return {std::istreambuf_iterator<char>(Input), {}};
}

std::set<std::string> matchesOf(const std::string &Text,
                                const std::string &Pattern) {
  const std::regex Wanted(Pattern);
  std::set<std::string> Found;
  for (std::sregex_iterator Match(Text.begin(), Text.end(), Wanted), End;
       Match != End; ++Match)
    Found.insert((*Match)[1]);
  return Found;
}

/// The quoted metric names in the sources of the modules.
std::set<std::string> registeredMetrics() {
  std::set<std::string> Names;
  const auto Modules = SourceFolder / "modules";
  for (const auto &Entry :
       std::filesystem::recursive_directory_iterator(Modules))
    if (Entry.path().extension() == ".cpp")
      Names.merge(
          matchesOf(contentOf(Entry.path()), "\"(clementine_[a-z_]+)\""));
  return Names;
}

} // namespace

TEST_CASE("docs/OPERATIONS.md lists exactly the registered metrics") {
  const std::string Page = contentOf(SourceFolder / "docs" / "OPERATIONS.md");
  const auto Named = matchesOf(Page, "`(clementine_[a-z_]+)`");
  const auto Registered = registeredMetrics();
  CHECK(Named.size() > 10);
  for (const std::string &Metric : Named)
    CHECK_MESSAGE(Registered.contains(Metric), Metric);
  for (const std::string &Metric : Registered)
    CHECK_MESSAGE(Named.contains(Metric), Metric);
}

TEST_CASE("docs/PROTOCOL.md lists every reason for a refusal") {
  const std::string Page = contentOf(SourceFolder / "docs" / "PROTOCOL.md");
  for (std::uint8_t Reason = 1; Reason < RefusalCount; ++Reason) {
    const std::string Name(refusalName(static_cast<refusal>(Reason)));
    CHECK_MESSAGE(Page.find("`" + Name + "`") != std::string::npos, Name);
  }
}
