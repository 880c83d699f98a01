#include "clementine_bundle/format/bundle_source.h"

#include <algorithm>
#include <utility>

namespace clementine {

namespace {

constexpr std::string_view Whitespace = " \t\r";

std::string_view trimmed(std::string_view Text) {
  const auto First = Text.find_first_not_of(Whitespace);
  if (First == std::string_view::npos)
    return {};
  const auto Last = Text.find_last_not_of(Whitespace);
  return Text.substr(First, Last - First + 1);
}

std::vector<std::string_view> splitWords(std::string_view Text) {
  std::vector<std::string_view> Words;
  std::size_t Begin = Text.find_first_not_of(Whitespace);
  while (Begin != std::string_view::npos) {
    const std::size_t End = Text.find_first_of(Whitespace, Begin);
    Words.push_back(Text.substr(Begin, End - Begin));
    Begin = Text.find_first_not_of(Whitespace, End);
  }
  return Words;
}

class splitter {
public:
  void parseLine(std::string_view Raw) {
    ++Line;
    const std::string_view Text = trimmed(Raw);
    if (Text.empty() || Text.front() == ';' || Text.front() == '#')
      return;
    if (Text.front() == '[')
      parseHeader(Text);
    else
      parseEntry(Text);
  }

  bundle_source Document;

private:
  void parseHeader(std::string_view Text) {
    if (Text.back() != ']') {
      // Otherwise the following entries would be added to the previous section.
      Document.Sections.push_back({Line, {}, {}});
      report(bundle_fault::MalformedLine, Text,
             "a section header of the form [KIND NAME ...]");
      return;
    }
    Document.Sections.push_back(
        {Line, splitWords(Text.substr(1, Text.size() - 2)), {}});
  }

  void parseEntry(std::string_view Text) {
    const auto Equals = Text.find('=');
    if (Equals == std::string_view::npos || Equals == 0) {
      report(bundle_fault::MalformedLine, Text,
             "key = value, [section], or a comment that begins with ;");
      return;
    }
    if (Document.Sections.empty()) {
      report(bundle_fault::KeyOutsideSection, Text,
             "a section header before the first key");
      return;
    }
    Document.Sections.back().Entries.push_back(
        {Line, trimmed(Text.substr(0, Equals)),
         trimmed(Text.substr(Equals + 1))});
  }

  void report(bundle_fault Fault, std::string_view Text, const char *Allowed) {
    Document.Errors.push_back(
        {Fault, Line, {}, {}, quotedValue(Text), Allowed});
  }

  std::uint32_t Line = 0;
};

} // namespace

std::string source_section::name() const {
  std::string Name;
  for (const std::string_view Word : Words) {
    if (!Name.empty())
      Name += ' ';
    Name += Word;
  }
  return Name;
}

std::string source_section::canonicalText() const {
  std::vector<source_entry> Sorted = Entries;
  std::sort(Sorted.begin(), Sorted.end(),
            [](const source_entry &Left, const source_entry &Right) {
              return Left.Key < Right.Key;
            });
  std::string Text = "[" + name() + "]\n";
  for (const source_entry &Entry : Sorted) {
    Text += Entry.Key;
    Text += " = ";
    Text += Entry.Value;
    Text += '\n';
  }
  return Text + "\n";
}

bundle_source bundle_source::split(std::string_view Text) {
  splitter Splitter;
  while (!Text.empty()) {
    const auto End = Text.find('\n');
    Splitter.parseLine(Text.substr(0, End));
    if (End == std::string_view::npos)
      break;
    Text.remove_prefix(End + 1);
  }
  return std::move(Splitter.Document);
}

std::string quotedValue(std::string_view Value) {
  std::string Quoted(Value.substr(0, MaxQuotedValueBytes));
  for (char &Character : Quoted)
    if (static_cast<unsigned char>(Character) < ' ' || Character == 0x7f)
      Character = '?';
  return Quoted;
}

} // namespace clementine
