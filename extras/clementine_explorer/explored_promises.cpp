#include "clementine_explorer/explored_mesh.h"

#include <algorithm>

namespace clementine::explorer {

namespace {

constexpr unsigned NotRun = 503;

} // namespace

std::optional<std::string> explored_mesh::violation() const {
  for (const auto &[Id, Request] : Requests) {
    if (!Settings.IsIdempotent && Request.Runs > 1)
      return Id + " ran " + std::to_string(Request.Runs) + " times";
    if (Request.Runs > 0 && std::ranges::count(Request.Statuses, NotRun) > 0)
      return Id + " was answered as not run and ran";
    if (Request.Statuses.size() > 1)
      return Id + " was answered twice";
  }
  return std::nullopt;
}

std::optional<std::string> explored_mesh::unanswered() const {
  for (const auto &[Id, Request] : Requests)
    if (Request.Statuses.empty() && Request.Entry == Incarnation)
      return Id + " is not answered";
  return std::nullopt;
}

} // namespace clementine::explorer
