#include "clementinectl/output/text_table.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <ostream>
#include <utility>

namespace clementine::ctl {

text_table::text_table(row Titles) { Rows.push_back(std::move(Titles)); }

void text_table::add(row Cells) {
  assert(Cells.size() == Rows[0].size());
  for (std::string &Cell : Cells)
    if (Cell.empty())
      Cell.assign(1, '-');
  Rows.push_back(std::move(Cells));
}

void text_table::print(std::ostream &Out) const {
  std::vector<std::size_t> Widths(Rows[0].size(), 0);
  for (const row &Row : Rows)
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  for (const row &Row : Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Line += Row[Column];
      Line.append(Widths[Column] - Row[Column].size() + 2, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Out << Line << "\n";
  }
}

std::string numberText(double Number) {
  if (std::isinf(Number))
    return "unlimited";
  std::array<char, 64> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%.3f", Number);
  std::string Text = Buffer.data();
  Text.erase(Text.find_last_not_of('0') + 1);
  if (Text.back() == '.')
    Text.pop_back();
  return Text;
}

std::string timeText(std::int64_t SecondsSince1970) {
  const std::time_t Time = SecondsSince1970;
  std::tm Parts{};
  std::array<char, 64> Buffer{};
  if (gmtime_r(&Time, &Parts) == nullptr)
    return {};
  std::strftime(Buffer.data(), Buffer.size(), "%Y-%m-%d %H:%M:%SZ", &Parts);
  return Buffer.data();
}

} // namespace clementine::ctl
