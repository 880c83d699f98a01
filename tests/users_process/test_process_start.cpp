#include "stand_in_users_platform/local_mesh.h"

#include <doctest/doctest.h>

#include <csignal>
#include <filesystem>
#include <string>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace clementine;
using namespace clementine::stand_in;

namespace {

/// The exit code of a process whose settings are invalid.
constexpr int InvalidSettings = 2;

/// A new folder, removed with all that it holds.
class temporary_folder {
public:
  temporary_folder() {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "start-XXXXXX").string();
    REQUIRE(mkdtemp(Pattern.data()) != nullptr);
    Path = Pattern;
  }
  ~temporary_folder() { std::filesystem::remove_all(Path); }

  temporary_folder(const temporary_folder &) = delete;
  temporary_folder &operator=(const temporary_folder &) = delete;

  std::string Path;
};

} // namespace

// Settings that are read from a FIFO hold the process until the test has
// written them.
TEST_CASE("a SIGHUP does not end a process that still reads its settings") {
  const temporary_folder Folder;
  const std::string Fifo = Folder.Path + "/node.ini";
  REQUIRE(mkfifo(Fifo.c_str(), S_IRUSR | S_IWUSR) == 0);
  child_process Node(std::string(CLEMENTINE_BINARY_DIR) + "/clementined",
                     {"--proxy", "--settings", Fifo},
                     Folder.Path + "/node.log");
  const int Writer = open(Fifo.c_str(), O_WRONLY | O_CLOEXEC);
  REQUIRE(Writer >= 0);
  Node.signal(SIGHUP);
  const std::string Text = "[node]\n";
  CHECK(write(Writer, Text.data(), Text.size()) ==
        static_cast<ssize_t>(Text.size()));
  close(Writer);
  REQUIRE(await([&] { return Node.exitCode().has_value(); }));
  CHECK(Node.terminationSignal() == 0);
  CHECK(Node.exitCode() == InvalidSettings);
}
