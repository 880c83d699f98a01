#ifndef CLEMENTINE_TESTS_CLEMENTINECTL_COMMAND_RUNNER_H
#define CLEMENTINE_TESTS_CLEMENTINECTL_COMMAND_RUNNER_H

#include "clementine_platform/clementine_platform.h"
#include "clementinectl/command/command.h"

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include <unistd.h>

namespace clementine::samples {

/// Forwards every call to another store, so that a command can own this object
/// while the store outlives it.
class borrowed_store final : public platform_store {
public:
  explicit borrowed_store(platform_store &Store) : Store(Store) {}

  result<std::optional<platform_entry>, platform_error>
  get(const std::string &Key) override {
    return Store.get(Key);
  }
  result<platform_range, platform_error>
  list(const std::string &Prefix) override {
    return Store.list(Prefix);
  }
  result<platform_commit, platform_error>
  commit(const platform_transaction &Transaction) override {
    return Store.commit(Transaction);
  }
  result<platform_lease, platform_error>
  grantLease(std::chrono::seconds TimeToLive) override {
    return Store.grantLease(TimeToLive);
  }
  result<platform_lease, platform_error> renewLease(lease_id Lease) override {
    return Store.renewLease(Lease);
  }
  result<void, platform_error> revokeLease(lease_id Lease) override {
    return Store.revokeLease(Lease);
  }
  result<void, platform_error>
  watch(const std::string &Prefix, platform_revision FromRevision,
        const watch_listener &Listener,
        const std::atomic<bool> &Stopping) override {
    return Store.watch(Prefix, FromRevision, Listener, Stopping);
  }

private:
  platform_store &Store;
};

/// Runs commands in a temporary directory against an in-memory platform.
class command_runner {
public:
  command_runner() {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "clementinectl.XXXXXX")
            .string();
    Folder = ::mkdtemp(Pattern.data());
  }
  ~command_runner() { std::filesystem::remove_all(Folder); }
  command_runner(const command_runner &) = delete;
  command_runner &operator=(const command_runner &) = delete;

  /// Runs a command line. Words are split at whitespace; a leading `@` is
  /// replaced by the temporary directory.
  ctl::exit_code run(const std::string &Line) {
    std::istringstream Stream(Line);
    std::vector<std::string> Words;
    for (std::string Word; Stream >> Word;)
      Words.push_back(Word.front() == '@' ? path(Word.substr(1)) : Word);
    Out.str({});
    Err.str({});
    ctl::command_context Context{
        Out,
        Err,
        [this](const std::string &) -> std::unique_ptr<platform_store> {
          return std::make_unique<borrowed_store>(Platform);
        },
        [this](const std::string &Node, const std::string &Path)
            -> result<std::string, ctl::node_error> {
          const auto Found = NodeAnswers.find(Node + Path);
          if (Found == NodeAnswers.end())
            return ctl::node_error{};
          return Found->second;
        },
        [] { return 1'796'000'000; },
        [](unsigned) {}};
    return ctl::runCommand(Words, Context);
  }

  std::string path(const std::string &Name) const { return Folder + Name; }

  void write(const std::string &Name, const std::string &Text) const {
    std::ofstream(path(Name)) << Text;
  }

  std::string read(const std::string &Name) const {
    std::stringstream Text;
    Text << std::ifstream(path(Name)).rdbuf();
    return Text.str();
  }

  /// The response bodies of nodes, by address and path.
  std::map<std::string, std::string> NodeAnswers;
  std::ostringstream Out;
  std::ostringstream Err;

private:
  monotonic_clock Time;

public:
  memory_platform_store Platform{Time};

private:
  std::string Folder;
};

} // namespace clementine::samples

#endif
