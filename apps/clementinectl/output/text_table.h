#ifndef CLEMENTINECTL_OUTPUT_TEXT_TABLE_H
#define CLEMENTINECTL_OUTPUT_TEXT_TABLE_H

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace clementine::ctl {

/// Lines up cells in columns, two blanks apart, for people.
class text_table {
public:
  using row = std::vector<std::string>;

  explicit text_table(row Titles);

  /// @param Cells as many as there are titles.
  void add(row Cells);

  /// @returns whether there is any row below the titles.
  bool isEmpty() const { return Rows.size() == 1; }

  /// Prints the titles and the rows.
  void print(std::ostream &Out) const;

private:
  std::vector<row> Rows;
};

/// @returns up to three decimals without trailing zeros, or `unlimited`.
std::string numberText(double Number);

/// @returns a time such as `2026-12-04 07:30:00Z`.
std::string timeText(std::int64_t SecondsSince1970);

} // namespace clementine::ctl

#endif
