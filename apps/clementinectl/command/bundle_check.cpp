#include "clementinectl/command/commands.h"
#include "clementinectl/input/command_line.h"
#include "clementinectl/input/files.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace clementine::ctl {

namespace {

using json = nlohmann::ordered_json;

json jsonOf(const bundle_error &Error) {
  return {{"fault", faultName(Error.Fault)},
          {"line", Error.Line},
          {"section", Error.Section},
          {"key", Error.Key},
          {"value", Error.Value},
          {"allowed", Error.Allowed}};
}

void printJson(const result<bundle, bundle_errors> &Parsed, std::ostream &Out) {
  json Errors = json::array();
  if (!Parsed)
    for (const bundle_error &Error : Parsed.error())
      Errors.push_back(jsonOf(Error));
  json Object{{"valid", Parsed.has_value()}, {"errors", Errors}};
  if (Parsed)
    Object["digest"] = Parsed.value().digest().text();
  Out << Object.dump(2) << "\n";
}

} // namespace

exit_code runBundleCheck(const command &Self,
                         const std::vector<std::string> &Arguments,
                         command_context &Context) {
  command_line Line(Self, Context);
  TCLAP::SwitchArg Json("j", "json", "print JSON", Line.parser());
  TCLAP::UnlabeledValueArg<std::string> File("file", "the bundle's text", true,
                                             "", "FILE", Line.parser());
  if (const auto Exit = Line.parse(Arguments))
    return *Exit;
  const auto Text = readFile(File.getValue(), Context);
  if (!Text)
    return exit_code::BadFile;
  const auto Parsed = bundle::parse(*Text);
  if (Json.getValue())
    printJson(Parsed, Context.Out);
  else if (!Parsed)
    printErrors(File.getValue(), Parsed.error(), Context);
  else
    Context.Out << File.getValue() << ": valid, "
                << Parsed.value().callers().size() << " callers, "
                << Parsed.value().operations().size() << " operations, digest "
                << Parsed.value().digest().text() << "\n";
  return Parsed ? exit_code::Success : exit_code::Negative;
}

} // namespace clementine::ctl
