#include "clementine_load/output/report.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <sstream>

namespace clementine::load {

namespace {

using json = nlohmann::json;

constexpr std::array<const char *, 7> OutcomeNames = {
    "whole", "not_run", "unknown", "failed", "wrong", "broken", "unsent"};

double seconds(duration Span) {
  return std::chrono::duration<double>(Span).count();
}

std::string decimal(double Number, int Digits) {
  constexpr std::size_t BufferSize = 64;
  std::array<char, BufferSize> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%.*f", Digits, Number);
  return Buffer.data();
}

std::string padded(std::string Text, std::size_t Width) {
  if (Text.size() < Width)
    Text.insert(0, Width - Text.size(), ' ');
  return Text;
}

std::string percent(std::uint64_t Part, std::uint64_t Of) {
  if (Of == 0)
    return "-";
  return decimal(100 * static_cast<double>(Part) / static_cast<double>(Of), 1) +
         "%";
}

void appendPhase(std::ostringstream &Text, const phase_result &Phase) {
  constexpr std::size_t NameWidth = 10;
  constexpr std::size_t NumberWidth = 10;
  const double Length = seconds(Phase.End - Phase.Begin);
  for (std::size_t Level = 0; Level < ImportanceLevels; ++Level) {
    const phase_counts &Counts = Phase.Levels[Level];
    if (Counts.Arrived == 0)
      continue;
    const std::string Name(importanceName(static_cast<importance>(Level)));
    Text << padded(Phase.Name, NameWidth) << padded(Name, NameWidth)
         << padded(decimal(static_cast<double>(Counts.Arrived) / Length, 1),
                   NumberWidth)
         << padded(decimal(static_cast<double>(Counts.Succeeded) / Length, 1),
                   NumberWidth)
         << padded(percent(Counts.Succeeded, Counts.Arrived), NumberWidth)
         << '\n';
  }
}

json levelsJson(const std::array<std::uint64_t, ImportanceLevels> &Counts) {
  json Object;
  for (std::size_t Level = 0; Level < ImportanceLevels; ++Level)
    Object[std::string(importanceName(static_cast<importance>(Level)))] =
        Counts[Level];
  return Object;
}

json phaseJson(const phase_result &Phase) {
  json Levels;
  for (std::size_t Level = 0; Level < ImportanceLevels; ++Level)
    Levels[std::string(importanceName(static_cast<importance>(Level)))] = {
        {"arrived", Phase.Levels[Level].Arrived},
        {"whole", Phase.Levels[Level].Succeeded}};
  return {{"name", Phase.Name},
          {"begin_s", seconds(Phase.Begin)},
          {"end_s", seconds(Phase.End)},
          {"importance", Levels}};
}

/// Maps times and rates to SVG coordinates.
struct plot_area {
  static constexpr double Left = 60;
  static constexpr double Top = 30;
  static constexpr double Width = 820;
  static constexpr double Height = 300;

  double LongestSeconds = 1;
  double HighestRate = 1;

  std::string x(double Seconds) const {
    return decimal(Left + Width * Seconds / LongestSeconds, 1);
  }
  std::string y(double Rate) const {
    return decimal(Top + Height * (1 - Rate / HighestRate), 1);
  }
};

double rateOf(std::uint64_t Count) {
  return static_cast<double>(Count) / seconds(TimelineStep);
}

plot_area areaFor(const scenario &Scenario, const measurement &Result) {
  plot_area Area;
  Area.LongestSeconds = seconds(Scenario.Duration);
  for (const timeline_point &Point : Result.Timeline)
    for (std::size_t Level = 0; Level < ImportanceLevels; ++Level)
      Area.HighestRate =
          std::max({Area.HighestRate, rateOf(Point.Arrived[Level]),
                    rateOf(Point.Succeeded[Level])});
  return Area;
}

void appendLine(
    std::ostringstream &Svg, const plot_area &Area, const measurement &Result,
    std::size_t Level,
    std::array<std::uint64_t, ImportanceLevels> timeline_point::*Counts,
    const std::string &Style) {
  Svg << "<polyline fill=\"none\" " << Style << " points=\"";
  for (const timeline_point &Point : Result.Timeline)
    if (seconds(Point.Begin) <= Area.LongestSeconds)
      Svg << Area.x(seconds(Point.Begin)) << ','
          << Area.y(rateOf((Point.*Counts)[Level])) << ' ';
  Svg << "\"/>\n";
}

void appendAxes(std::ostringstream &Svg, const plot_area &Area) {
  constexpr int Ticks = 5;
  for (int Tick = 0; Tick <= Ticks; ++Tick) {
    const double Seconds = Area.LongestSeconds * Tick / Ticks;
    const double Rate = Area.HighestRate * Tick / Ticks;
    Svg << "<text x=\"" << Area.x(Seconds) << "\" y=\"350\">"
        << decimal(Seconds, 0) << " s</text>\n<text x=\"5\" y=\""
        << Area.y(Rate) << "\">" << decimal(Rate, 0) << "/s</text>\n";
  }
}

void appendMarks(std::ostringstream &Svg, const plot_area &Area,
                 const scenario &Scenario) {
  for (const surge_phase &Surge : Scenario.Surges)
    Svg << "<rect x=\"" << Area.x(seconds(Surge.Begin))
        << "\" y=\"30\" width=\""
        << decimal(plot_area::Width * seconds(Surge.End - Surge.Begin) /
                       Area.LongestSeconds,
                   1)
        << "\" height=\"300\" fill=\"#f4e3c8\"/>\n";
  for (const scheduled_fault &Fault : Scenario.Faults)
    Svg << "<line x1=\"" << Area.x(seconds(Fault.At)) << "\" x2=\""
        << Area.x(seconds(Fault.At))
        << "\" y1=\"30\" y2=\"330\" stroke=\"#888\" "
           "stroke-dasharray=\"4 3\"/>\n";
}

constexpr std::array<const char *, ImportanceLevels> LevelColours = {
    "#b2182b", "#ef8a62", "#4393c3", "#777777"};

} // namespace

std::string formatTable(const scenario &Scenario, const measurement &Result) {
  std::ostringstream Text;
  Text << "scenario " << Scenario.Name << ", seed " << Scenario.Seed << "\n\n"
       << "     phase importance arrivals/s  whole/s     share\n";
  for (const phase_result &Phase : Result.Phases)
    appendPhase(Text, Phase);
  Text << "\nwhole requests                          " << Result.Succeeded
       << " of " << Result.Requests
       << "\nrecovery after the surge                ";
  if (Scenario.lastSurge() == nullptr)
    Text << "no surge";
  else if (Result.Recovery)
    Text << decimal(seconds(*Result.Recovery), 2) << " s";
  else
    Text << "not within the run";
  Text << "\nwasted upstream time                    "
       << decimal(100 * Result.wastedShare(), 1) << "% of "
       << decimal(seconds(Result.BusyTime), 1) << " s"
       << "\nsends per request                       "
       << decimal(Result.SendsPerRequest, 3)
       << "\nupstream runs per request that ran      "
       << decimal(Result.RunsPerRequest, 3) << "\nanswers                  ";
  for (std::size_t Outcome = 0; Outcome < OutcomeNames.size(); ++Outcome)
    Text << ' ' << OutcomeNames[Outcome] << ' '
         << Result.SendsByOutcome[Outcome];
  Text << "\nrequests told \"not run\" and found run   " << Result.NotRunButRan
       << "\nnon-repeatable requests run twice       " << Result.RunTwice
       << "\nanswers to the wrong caller             " << Result.WrongAnswers
       << '\n';
  return Text.str();
}

std::string formatJson(const scenario &Scenario, const measurement &Result) {
  json Phases = json::array();
  for (const phase_result &Phase : Result.Phases)
    Phases.push_back(phaseJson(Phase));
  json Timeline = json::array();
  for (const timeline_point &Point : Result.Timeline)
    Timeline.push_back({{"begin_s", seconds(Point.Begin)},
                        {"arrived", levelsJson(Point.Arrived)},
                        {"whole", levelsJson(Point.Succeeded)}});
  json Sends;
  for (std::size_t Outcome = 0; Outcome < OutcomeNames.size(); ++Outcome)
    Sends[OutcomeNames[Outcome]] = Result.SendsByOutcome[Outcome];
  json Report = {{"scenario", Scenario.Name},
                 {"seed", Scenario.Seed},
                 {"requests", Result.Requests},
                 {"whole", Result.Succeeded},
                 {"wasted_share", Result.wastedShare()},
                 {"busy_s", seconds(Result.BusyTime)},
                 {"sends_per_request", Result.SendsPerRequest},
                 {"runs_per_request", Result.RunsPerRequest},
                 {"sends", Sends},
                 {"not_run_but_ran", Result.NotRunButRan},
                 {"run_twice", Result.RunTwice},
                 {"wrong_answers", Result.WrongAnswers},
                 {"phases", Phases},
                 {"timeline", Timeline}};
  Report["recovery_s"] =
      Result.Recovery ? json(seconds(*Result.Recovery)) : json();
  return Report.dump(2) + "\n";
}

std::string formatCsv(const measurement &Result) {
  std::ostringstream Text;
  Text << "begin_s,importance,arrived,whole,whole_of_arrived\n";
  for (const timeline_point &Point : Result.Timeline)
    for (std::size_t Level = 0; Level < ImportanceLevels; ++Level)
      Text << decimal(seconds(Point.Begin), 2) << ','
           << importanceName(static_cast<importance>(Level)) << ','
           << Point.Arrived[Level] << ',' << Point.Succeeded[Level] << ','
           << Point.SucceededOfArrived[Level] << '\n';
  return Text.str();
}

std::string formatSends(const scenario &Scenario, instant Begin,
                        const std::vector<request_record> &Requests) {
  std::ostringstream Text;
  Text << "nonce,operation,importance,arrived_s,send,sent_s,ended_s,outcome\n";
  for (const request_record &Request : Requests) {
    const load_stream &Stream = Scenario.Streams[Request.Stream];
    for (std::size_t Index = 0; Index < Request.Sends.size(); ++Index) {
      const send_record &Send = Request.Sends[Index];
      Text << Request.Nonce << ',' << Stream.Target.text() << ','
           << importanceName(Stream.Level) << ','
           << decimal(seconds(Request.Arrived - Begin), 3) << ',' << Index + 1
           << ',' << decimal(seconds(Send.Sent - Begin), 3) << ','
           << decimal(seconds(Send.Ended - Begin), 3) << ','
           << OutcomeNames.at(static_cast<std::size_t>(Send.Outcome)) << '\n';
    }
  }
  return Text.str();
}

std::string formatSvg(const scenario &Scenario, const measurement &Result) {
  const plot_area Area = areaFor(Scenario, Result);
  std::ostringstream Svg;
  Svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"900\" "
         "height=\"380\" font-family=\"sans-serif\" font-size=\"11\">\n"
         "<rect width=\"900\" height=\"380\" fill=\"white\"/>\n<text x=\"60\" "
         "y=\"18\">"
      << Scenario.Name
      << ": whole requests a second by importance (dotted: arrivals)</text>\n";
  appendMarks(Svg, Area, Scenario);
  appendAxes(Svg, Area);
  for (std::size_t Level = 0; Level < ImportanceLevels; ++Level) {
    const std::string Colour =
        std::string("stroke=\"") + LevelColours[Level] + "\"";
    appendLine(Svg, Area, Result, Level, &timeline_point::Arrived,
               Colour + " stroke-dasharray=\"1 3\"");
    appendLine(Svg, Area, Result, Level, &timeline_point::Succeeded,
               Colour + " stroke-width=\"1.8\"");
    Svg << "<text x=\"" << 300 + 90 * Level << "\" y=\"372\" fill=\""
        << LevelColours[Level] << "\">"
        << importanceName(static_cast<importance>(Level)) << "</text>\n";
  }
  Svg << "</svg>\n";
  return Svg.str();
}

} // namespace clementine::load
