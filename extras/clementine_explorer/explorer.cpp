#include "clementine_explorer/explorer.h"

#include <unordered_set>

namespace clementine::explorer {

namespace {

using way = std::vector<step>;

/// The mesh after the steps of @p Way.
std::unique_ptr<explored_mesh> meshAfter(const exploration_settings &Settings,
                                         const way &Way) {
  auto Mesh = std::make_unique<explored_mesh>(Settings);
  for (const step Each : Way)
    Mesh->apply(Each);
  return Mesh;
}

/// @returns the promise that is broken now, or that is if nothing but time
/// passes from now on. Uses up @p Mesh.
std::optional<std::string> brokenPromise(explored_mesh &Mesh) {
  if (auto Broken = Mesh.violation())
    return Broken;
  Mesh.finish();
  if (auto Broken = Mesh.violation())
    return Broken;
  return Mesh.unanswered();
}

} // namespace

std::string_view stepName(step_kind Kind) {
  constexpr std::array<std::string_view, StepKinds> All = {
      "begin",    "arrive at gate", "arrive at entry", "complete",
      "cut",      "connect",        "fail to connect", "silent",
      "forget",   "restart gate",   "restart entry",   "depart",
      "pass time"};
  return All.at(static_cast<std::size_t>(Kind));
}

exploration explore(const exploration_settings &Settings) {
  exploration Result;
  std::unordered_set<std::uint64_t> Seen;
  std::vector<way> Level = {{}};
  for (unsigned Depth = 0; Depth < Settings.Depth; ++Depth) {
    std::vector<way> NextLevel;
    for (const way &Way : Level)
      for (const step Each : meshAfter(Settings, Way)->steps()) {
        ++Result.Transitions;
        way Longer = Way;
        Longer.push_back(Each);
        const auto Mesh = meshAfter(Settings, Longer);
        if (!Seen.insert(Mesh->fingerprint()).second)
          continue;
        Result.States = Seen.size();
        if (const auto Broken = brokenPromise(*Mesh)) {
          Result.Violation = *Broken;
          Result.Way = std::move(Longer);
          return Result;
        }
        NextLevel.push_back(std::move(Longer));
      }
    Level = std::move(NextLevel);
  }
  return Result;
}

std::string describe(const std::vector<step> &Way) {
  std::string Text;
  for (const step Each : Way)
    Text += "  " + std::string(stepName(Each.Kind)) + " " +
            std::to_string(Each.Target) + "\n";
  return Text;
}

} // namespace clementine::explorer
