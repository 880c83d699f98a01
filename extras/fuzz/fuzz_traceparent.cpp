/// Checks that a parsed trace context is unchanged by formatting it as a
/// traceparent header and parsing it again.
#include "fuzz_input.h"

#include "clementine_telemetry/spans/trace_context.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace clementine;
  const auto Context = parseTraceparent(textOf(Data, Size));
  if (!Context)
    return 0;
  require(Context->Span.Value != 0);
  require(parseTraceparent(formatTraceparent(*Context)) == Context);
  return 0;
}
