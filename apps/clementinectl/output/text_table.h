#ifndef CLEMENTINECTL_OUTPUT_TEXT_TABLE_H
#define CLEMENTINECTL_OUTPUT_TEXT_TABLE_H

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace clementine::ctl {

/// A table of text with aligned columns, separated by two spaces.
class text_table {
public:
  using row = std::vector<std::string>;

  explicit text_table(row Titles);

  /// Adds a row; empty cells are shown as `-`.
  /// @param Cells one for each title.
  void add(row Cells);

  /// @returns whether there is no row below the titles.
  bool isEmpty() const { return Rows.size() == 1; }

  void print(std::ostream &Out) const;

private:
  std::vector<row> Rows;
};

/// @returns the number with up to three decimals without trailing zeros, or
/// `unlimited` for infinity.
std::string numberText(double Number);

/// @returns a time in UTC, such as `2026-12-04 07:30:00Z`.
std::string timeText(std::int64_t SecondsSince1970);

} // namespace clementine::ctl

#endif
