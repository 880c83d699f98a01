#include "clementine_load/description/section_reader.h"

namespace clementine::load {

result<ini_document, description_error> readDocument(std::string_view Text) {
  ini_document Document = parseIni(Text);
  if (Document.Errors.empty())
    return Document;
  const ini_error &First = Document.Errors.front();
  return description_error{description_error::fault::Malformed, First.Line,
                           First.Section, First.Key, First.Value};
}

bool splitOperation(std::string_view Text, std::string &Service,
                    std::string &Operation) {
  const std::size_t Slash = Text.find('/');
  if (Slash == std::string_view::npos || Slash == 0 || Slash + 1 == Text.size())
    return false;
  Service = Text.substr(0, Slash);
  Operation = Text.substr(Slash + 1);
  return true;
}

} // namespace clementine::load
