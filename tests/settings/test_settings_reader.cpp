#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "clementine_settings/clementine_settings.h"

#include <algorithm>
#include <sstream>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

const std::string Minimal = R"([node]
name = hall-desk-1
data_centre = fukuoka
http_listen = 127.0.1.1:8000
peer_listen = 127.0.1.1:8001
gossip_listen = 127.0.1.1:8002
admin_listen = 127.0.1.1:8003
[security]
peer_keys = k1:AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=
[upstream]
service = hall-desk
)";
/// The line number of the first setting after Minimal and a section line.
constexpr std::uint32_t AddedLine = 13;

constexpr auto KeyText = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=";

std::vector<settings_error> errorsOf(const std::string &Text) {
  const auto Settings = readSettings(Text, "node.ini");
  return Settings ? std::vector<settings_error>{} : Settings.error().Errors;
}

settings_error onlyErrorOf(const std::string &Text) {
  const auto Errors = errorsOf(Text);
  REQUIRE(Errors.size() == 1);
  return Errors.front();
}

struct bad_value {
  std::string Section;
  std::string Key;
  std::string Value;
  settings_fault Fault;
};

} // namespace

TEST_CASE("settings with only the required keys have every default") {
  const auto Read = readSettings(Minimal, "node.ini");
  REQUIRE(Read);
  const node_settings &Settings = Read.value();
  CHECK(Settings.Name == "hall-desk-1");
  CHECK(Settings.PeerListen == endpoint{"127.0.1.1", 8001});
  CHECK_FALSE(Settings.UpstreamAddress);
  CHECK_FALSE(Settings.PlatformUrl);
  CHECK(Settings.Seeds.empty());
  CHECK(Settings.ProbeInterval == 1s);
  CHECK(Settings.BodyBytes == byte_count{262144});
  CHECK(Settings.Limiter == limiter_kind::Learned);
  CHECK(Settings.RetryShare == fraction{0.1});
}

TEST_CASE("values in the file override the defaults") {
  const auto Read = readSettings(
      Minimal +
          "address = 127.0.1.1:9000\n[platform]\nurl = "
          "http://127.0.0.1:2379/v3\n[membership]\nseeds = "
          "127.0.1.2:7000, 127.0.1.3:7000\nsuspicion = 2.5\n"
          "[bundle]\ntrusted_keys = yuki:" +
          KeyText +
          "\n[admission]\nlimiter = static\n[limits]\nbody_bytes = 1MiB\n"
          "[telemetry]\nlog_level = warning\nsample_share = 1\n",
      "node.ini");
  REQUIRE(Read);
  const node_settings &Settings = Read.value();
  CHECK(Settings.UpstreamAddress == endpoint{"127.0.1.1", 9000});
  CHECK(Settings.PlatformUrl == http_url{"http://127.0.0.1:2379/v3"});
  CHECK(Settings.Seeds ==
        std::vector<endpoint>{{"127.0.1.2", 7000}, {"127.0.1.3", 7000}});
  CHECK(Settings.SuspicionMultiplier == factor{2.5});
  REQUIRE(Settings.TrustedKeys.size() == 1);
  CHECK(Settings.TrustedKeys.front().Name == "yuki");
  CHECK(Settings.TrustedKeys.front().Bytes.at(31) == 31);
  CHECK(Settings.Limiter == limiter_kind::Static);
  CHECK(Settings.BodyBytes == byte_count{1048576});
  CHECK(Settings.LogLevel == log_threshold::Warning);
  CHECK(Settings.SampleShare == fraction{1});
}

TEST_CASE(
    "an error of each kind of invalid value contains its position and the "
    "allowed values") {
  using enum settings_fault;
  const std::string Key = KeyText;
  const std::vector<bad_value> BadValues = {
      {"platform", "timeout", "", MalformedValue},
      {"platform", "timeout", "250", MalformedValue},
      {"platform", "timeout", "ms", MalformedValue},
      {"platform", "timeout", "2.s", MalformedValue},
      {"platform", "timeout", ".5s", MalformedValue},
      {"platform", "timeout", "2.5.1s", MalformedValue},
      {"platform", "timeout", "2.-5s", MalformedValue},
      {"platform", "timeout", "2,5s", MalformedValue},
      {"platform", "timeout", "1e1s", MalformedValue},
      {"platform", "timeout", "0x2s", MalformedValue},
      {"platform", "timeout", "9.999ms", OutOfRange},
      {"platform", "timeout", "1.001min", OutOfRange},
      {"platform", "timeout", "-1s", MalformedValue},
      {"platform", "timeout", "2 s", MalformedValue},
      {"platform", "timeout", "99999999999999999999s", MalformedValue},
      {"platform", "timeout", "9999999999999999h", MalformedValue},
      {"platform", "timeout", "9ms", OutOfRange},
      {"platform", "timeout", "2min", OutOfRange},
      {"platform", "url", "127.0.0.1:2379", MalformedValue},
      {"platform", "url", "http://", MalformedValue},
      {"platform", "url", "http:///v3", MalformedValue},
      {"platform", "url", "http://a b", MalformedValue},
      {"platform", "url", "http://a/?q=1", MalformedValue},
      {"membership", "seeds", "127.0.0.1", MalformedValue},
      {"membership", "seeds", "localhost:7000", MalformedValue},
      {"membership", "seeds", "127.0.0.1:0", MalformedValue},
      {"membership", "seeds", "127.0.0.1:65536", MalformedValue},
      {"membership", "seeds", "127.0.0.1:7000,", MalformedValue},
      {"membership", "bytes_per_second", "2000", MalformedValue},
      {"membership", "bytes_per_second", "2KB", MalformedValue},
      {"membership", "bytes_per_second", "2.5KiB", MalformedValue},
      {"membership", "bytes_per_second", "199B", OutOfRange},
      {"bundle", "trusted_keys", Key, MalformedValue},
      {"bundle", "trusted_keys", "yuki:AAEC", MalformedValue},
      {"bundle", "trusted_keys",
       "yuki:" + Key.substr(0, 42) + "9=", MalformedValue},
      {"bundle", "trusted_keys", "-yuki:" + Key, MalformedValue},
      {"bundle", "trusted_keys", "yuki:" + Key + ",yuki:" + Key, Conflict},
      {"bundle", "file", "", MalformedValue},
      {"admission", "limiter", "gradient", MalformedValue},
      {"admission", "initial_limit", "0x10", MalformedValue},
      {"admission", "queue_per_slot", "10.5", OutOfRange},
      {"admission", "initial_limit", "0", OutOfRange},
      {"retries", "share", "1.5", OutOfRange},
      {"retries", "share", "-0.5", MalformedValue},
      {"retries", "share", "nan", MalformedValue},
      {"retries", "share", "1e-1", MalformedValue},
      {"telemetry", "log_level", "INFO", MalformedValue},
      {"membership", "suspicion", "0.5", OutOfRange},
      {"membership", "suspicion", "3s", MalformedValue},
  };
  for (const bad_value &Bad : BadValues) {
    CAPTURE(Bad.Key);
    CAPTURE(Bad.Value);
    const auto Error = onlyErrorOf(Minimal + "[" + Bad.Section + "]\n" +
                                   Bad.Key + " = " + Bad.Value + "\n");
    CHECK(Error.Fault == Bad.Fault);
    CHECK(Error.File == "node.ini");
    CHECK(Error.Line == AddedLine);
    CHECK(Error.Section == Bad.Section);
    CHECK(Error.Key == Bad.Key);
    CHECK_FALSE(Error.Allowed.empty());
    if (Bad.Fault != Conflict)
      CHECK(Error.Value == Bad.Value);
    for (const std::string &Part :
         {Error.File + ":" + std::to_string(AddedLine), Error.Section,
          Error.Key, Error.Value, Error.Allowed})
      CHECK(Error.text().find(Part) != std::string::npos);
  }
}

// A deployment may state a figure as a fraction: review/14.
TEST_CASE("a duration may be a fraction, whatever its unit") {
  struct valid_duration {
    std::string Text;
    duration Expected;
  };
  const std::vector<valid_duration> Durations = {
      {"6.5s", 6500ms},
      {"6.0s", 6s},
      {"0.3s", 300ms},
      {"6.05s", 6050ms},
      {"0.30000000000000004s", 300ms},
      {"6.3333333333333333s", std::chrono::nanoseconds(6333333333)},
      {"0.9999999999999s", 1s},
      {"2.5us", std::chrono::nanoseconds(2500)},
      {"250.25ms", std::chrono::microseconds(250250)},
      {"1.5min", 90s},
      {"0.25h", 15min},
      {"2562047.788015215h", std::chrono::nanoseconds(9223372036854774000)}};
  for (const valid_duration &Each : Durations) {
    CAPTURE(Each.Text);
    CHECK(value_format<duration>::parse(Each.Text) == Each.Expected);
  }
  CHECK_FALSE(value_format<duration>::parse("2562047.788015216h"));
  CHECK_FALSE(value_format<duration>::parse("9223372036.9s"));
}

TEST_CASE("the allowed range in an error includes the unit") {
  const auto Error = onlyErrorOf(Minimal + "[platform]\ntimeout = 1h\n");
  CHECK(Error.Allowed.find("from 10ms to 1min") != std::string::npos);
}

TEST_CASE(
    "unknown, duplicate, missing and misplaced sections and keys are errors") {
  using enum settings_fault;
  CHECK(onlyErrorOf(Minimal + "[nodes]\nname = a\n").Fault == UnknownSection);
  CHECK(onlyErrorOf(Minimal + "[platform]\nurls = a\n").Fault == UnknownKey);
  CHECK(onlyErrorOf(Minimal + "[node]\n").Fault == DuplicateSection);
  CHECK(onlyErrorOf(Minimal + "service = other\n").Fault == DuplicateKey);
  CHECK(onlyErrorOf("name = a\n" + Minimal).Fault == KeyOutsideSection);
  CHECK(onlyErrorOf(Minimal + "service hall\n").Fault == MalformedLine);
  CHECK(onlyErrorOf(Minimal + "[upstream\n").Fault == MalformedLine);
  CHECK(onlyErrorOf(Minimal + "[]\n").Fault == MalformedLine);
  CHECK(onlyErrorOf(Minimal + "= 3\n").Fault == MalformedLine);
  CHECK(onlyErrorOf(Minimal + "connections = \x01\n").Fault ==
        ForbiddenCharacter);
  CHECK(onlyErrorOf(Minimal + "connections = \xc3\xa9\n").Fault ==
        ForbiddenCharacter);
  CHECK(onlyErrorOf(Minimal + std::string(MaxIniLineBytes + 1, 'a')).Fault ==
        LineTooLong);
  const auto Missing = onlyErrorOf(Minimal.substr(0, Minimal.rfind("service")));
  CHECK(Missing.Fault == MissingKey);
  CHECK(Missing.Section == "upstream");
  CHECK(Missing.Key == "service");
  CHECK(errorsOf(std::string(MaxIniTextBytes + 1, ';')).front().Fault ==
        TextTooLarge);
}

TEST_CASE("names have the same maximum lengths as in membership") {
  using enum settings_fault;
  struct capped_name {
    std::string Line;
    std::size_t Most;
    settings_fault Fault;
  };
  const std::vector<capped_name> Names = {
      {"\nname = hall-desk-1", 64, MalformedValue},
      {"\ndata_centre = fukuoka", 32, OutOfRange},
      {"\nservice = hall-desk", 48, OutOfRange}};
  for (const capped_name &Name : Names) {
    CAPTURE(Name.Line);
    const std::size_t Place = Minimal.find(Name.Line);
    const std::string Key = Name.Line.substr(0, Name.Line.find('=') + 1);
    std::string Text = Minimal;
    Text.replace(Place, Name.Line.size(), Key + std::string(Name.Most, 'X'));
    CHECK(errorsOf(Text).empty());
    Text.insert(Place + Key.size(), "X");
    CHECK(onlyErrorOf(Text).Fault == Name.Fault);
  }
}

TEST_CASE(
    "the name of a shared secret has the maximum length of the key ring") {
  std::string Text = Minimal;
  Text.replace(Text.find("k1:"), 2, std::string(32, 'k'));
  CHECK(errorsOf(Text).empty());
  Text.insert(Text.find("kkk"), "k");
  const auto Error = onlyErrorOf(Text);
  CHECK(Error.Fault == settings_fault::Conflict);
  CHECK(Error.Key == "peer_keys");
  CHECK(Error.Line == 9);
}

TEST_CASE("two TCP listeners on one address are a conflict") {
  std::string Text = Minimal;
  Text.replace(Text.find("8003"), 4, "8000");
  const auto Error = onlyErrorOf(Text);
  CHECK(Error.Fault == settings_fault::Conflict);
  CHECK(Error.Key == "admin_listen");
  CHECK(Error.Line == 7);
}

TEST_CASE("all errors of a file are reported at once, in line order") {
  const auto Errors = errorsOf(
      Minimal + "[platform]\ntimeout = 1\nspeed = 2\n[unknown]\nx = 1\n");
  REQUIRE(Errors.size() == 3);
  CHECK(std::is_sorted(Errors.begin(), Errors.end(),
                       [](const settings_error &A, const settings_error &B) {
                         return A.Line < B.Line;
                       }));
}

TEST_CASE("an error never contains a secret") {
  const std::string Key = KeyText;
  const std::string Cut = Key.substr(1);
  std::string Malformed = Minimal;
  Malformed.replace(Malformed.find(Key), Key.size(), Cut);
  std::string Duplicate = Minimal;
  Duplicate.insert(Duplicate.find("[upstream]"),
                   "peer_keys = k2:" + Key + "\n");
  std::string TooMany = Minimal;
  for (int Number = 2; Number <= 9; ++Number)
    TooMany.insert(TooMany.find("k1:"),
                   "k" + std::to_string(Number) + ":" + Key + ", ");
  CHECK(onlyErrorOf(TooMany).Fault == settings_fault::OutOfRange);
  for (const std::string &Text : {Malformed, Duplicate, TooMany}) {
    const auto Error = onlyErrorOf(Text);
    CHECK(Error.Value == "(hidden)");
    CHECK(Error.text().find(Cut) == std::string::npos);
  }
}

TEST_CASE("lists have a maximum length and errors truncate long values") {
  std::string List = "127.0.0.1:1";
  for (std::size_t Count = 1; Count <= MaxListElements; ++Count)
    List += ",127.0.0.1:1";
  const auto Error =
      onlyErrorOf(Minimal + "[membership]\nseeds = " + List + "\n");
  CHECK(Error.Fault == settings_fault::MalformedValue);
  CHECK(Error.Value.size() < 130);
}

TEST_CASE("a missing file or a directory is an error with exit code 2") {
  for (const std::string File : {"/nonexistent/node.ini", "/"}) {
    std::ostringstream Output;
    CHECK(checkSettings(File, Output) == 2);
    CHECK(Output.str().find(File) != std::string::npos);
  }
}

TEST_CASE(
    "random text without a required key is rejected, and each error describes "
    "the allowed values") {
  CHECK(rc::check("settings", [] {
    const std::vector<std::string> Parts = {
        "[node]",      "[platform]",  "name", "=", "a",
        "\n",          "timeout",     "1s",   "[", "]",
        "http_listen", "127.0.0.1:1", ";",    ",", "\xff"};
    const auto Picked = *rc::gen::container<std::vector<std::string>>(
        rc::gen::elementOf(Parts));
    std::string Text;
    for (const std::string &Part : Picked)
      Text += Part;
    const auto Errors = errorsOf(Text);
    // [upstream] service is never among the parts.
    RC_ASSERT(!Errors.empty());
    for (const settings_error &Error : Errors)
      RC_ASSERT(!Error.Allowed.empty());
  }));
}
