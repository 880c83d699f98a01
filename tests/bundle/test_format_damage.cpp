#include <doctest/doctest.h>

#include "clementine_bundle/clementine_bundle.h"

#include <rapidcheck.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace clementine;

namespace {

std::string sampleText() {
  std::stringstream Text;
  Text << std::ifstream(CLEMENTINE_SOURCE_DIR "/examples/bundles/takamori.ini")
              .rdbuf();
  return Text.str();
}

} // namespace

TEST_CASE(
    "a damaged text gives errors with lines or parses to a valid bundle") {
  const std::string Sample = sampleText();
  REQUIRE(bundle::parse(Sample).has_value());
  CHECK(rc::check("random edits of a bundle's text", [&] {
    std::string Text = Sample;
    const auto Edits = *rc::gen::inRange(1, 4);
    for (int Count = 0; Count < Edits; ++Count) {
      const auto Position = *rc::gen::inRange<std::size_t>(0, Text.size());
      const auto Length = *rc::gen::inRange<std::size_t>(0, 3);
      // Small edits often leave the text valid.
      const auto Bytes = *rc::gen::oneOf(
          rc::gen::element<std::string>("", ";", "\n", "x", "1"),
          rc::gen::string<std::string>());
      Text.replace(Position, Length, Bytes);
    }
    const auto Parsed = bundle::parse(Text);
    RC_CLASSIFY(Parsed.has_value(), "still valid");
    if (Parsed) {
      const auto Again = bundle::parse(Parsed.value().text());
      RC_ASSERT(Again.has_value());
      RC_ASSERT(Again.value() == Parsed.value());
      RC_ASSERT(std::ranges::equal(Again.value().callers(),
                                   Parsed.value().callers()));
      RC_ASSERT(std::ranges::equal(Again.value().operations(),
                                   Parsed.value().operations()));
      return;
    }
    RC_ASSERT(!Parsed.error().empty());
    for (const bundle_error &Error : Parsed.error())
      RC_ASSERT(Error.Line > 0 || Error.Fault == bundle_fault::MissingSection);
  }));
}
