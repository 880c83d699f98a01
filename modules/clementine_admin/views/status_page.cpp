#include "clementine_admin/views/status_page.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <initializer_list>

namespace clementine {

namespace {

constexpr std::string_view PageHead =
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>clementinecove node</title><style>"
    "body{font-family:sans-serif;margin:2em}"
    "table{border-collapse:collapse;margin-bottom:2em}"
    "td,th{border:1px solid #999;padding:.3em .6em;text-align:left}"
    "</style></head><body>\n";

using cells = std::vector<std::string>;

std::string escaped(std::string_view Text) {
  std::string Html;
  for (const char Character : Text) {
    switch (Character) {
    case '&':
      Html += "&amp;";
      break;
    case '<':
      Html += "&lt;";
      break;
    case '>':
      Html += "&gt;";
      break;
    case '"':
      Html += "&quot;";
      break;
    default:
      Html += Character;
    }
  }
  return Html;
}

std::string row(const cells &Cells, std::string_view Tag) {
  std::string Html = "<tr>";
  for (const std::string &Cell : Cells)
    Html.append("<")
        .append(Tag)
        .append(">")
        .append(escaped(Cell))
        .append("</")
        .append(Tag)
        .append(">");
  return Html + "</tr>\n";
}

std::string number(double Value) {
  std::array<char, 32> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%.1f", Value);
  return Buffer.data();
}

std::string number(std::uint64_t Value) { return std::to_string(Value); }

template <class Value>
std::string orText(const std::optional<Value> &Known, const char *Otherwise) {
  return Known ? number(*Known) : Otherwise;
}

std::string secondsText(duration Span) {
  return number(std::chrono::duration<double>(Span).count()) + " s";
}

std::string milliseconds(const std::optional<duration> &Span) {
  if (!Span)
    return "-";
  return number(std::chrono::duration<double, std::milli>(*Span).count()) +
         " ms";
}

cells cellsOf(const member_status &Member) {
  return {Member.Identity.Name + (Member.IsSelf ? " (this node)" : ""),
          Member.DataCentre,
          Member.Service,
          std::string(memberStateName(Member.State)),
          std::to_string(Member.Identity.Incarnation),
          Member.Http.text()};
}

cells cellsOf(const upstream_status &Upstream) {
  return {Upstream.Service,
          Upstream.Node + (Upstream.IsOwn ? " (this node)" : ""),
          Upstream.DataCentre,
          Upstream.IsDraining ? "draining" : "",
          number(Upstream.InFlight),
          orText(Upstream.Limit, "-"),
          number(Upstream.Queued),
          std::to_string(Upstream.Level.index()) + " of " +
              std::to_string(admission_level().index()),
          milliseconds(Upstream.MeanLatency)};
}

cells cellsOf(const caller_status &Caller) {
  return {Caller.Name,
          Caller.Owner,
          std::string(importanceName(Caller.Importance)),
          number(Caller.Rate) + " of " + orText(Caller.RateLimit, "any"),
          number(Caller.InFlight) + " of " +
              orText(Caller.ConcurrencyLimit, "any"),
          number(Caller.Cost) + " of " + orText(Caller.CostLimit, "any"),
          number(Caller.Refused)};
}

template <class Entry>
std::string table(std::string_view Title, const cells &Headings,
                  const std::vector<Entry> &Entries) {
  std::string Html = "<h2>" + std::string(Title) + "</h2>\n<table>\n";
  Html += row(Headings, "th");
  const std::size_t Shown = std::min(Entries.size(), MaxPageRows);
  for (std::size_t Index = 0; Index < Shown; ++Index)
    Html += row(cellsOf(Entries[Index]), "td");
  Html += "</table>\n";
  if (Shown < Entries.size())
    Html += "<p>" + std::to_string(Entries.size() - Shown) +
            " more are not shown.</p>\n";
  return Html;
}

std::string bundleText(const std::optional<bundle_status> &Bundle) {
  if (!Bundle)
    return "The node has no bundle.";
  const std::string Confirmed =
      Bundle->Confirmed
          ? "last confirmed " + secondsText(*Bundle->Confirmed) + " ago"
          : "not confirmed yet";
  return "Bundle " + Bundle->Name + " version " +
         std::to_string(Bundle->Version) + ", signed by " + Bundle->Owner +
         ", in force for " + secondsText(Bundle->InForce) + ", " + Confirmed +
         ". Digest " + Bundle->Digest + ".";
}

std::string paragraph(const std::string &Text) {
  return "<p>" + escaped(Text) + "</p>\n";
}

} // namespace

std::string statusPage(const node_status &Status) {
  std::string Html(PageHead);
  Html += "<h1>" + escaped(Status.Identity.Name) + "</h1>\n";
  Html += paragraph("Data centre " + Status.DataCentre + ", incarnation " +
                    std::to_string(Status.Identity.Incarnation) + ", program " +
                    Status.Program + ", up for " + secondsText(Status.Uptime) +
                    (Status.IsStopping ? ", stopping." : "."));
  Html += paragraph(bundleText(Status.Bundle));
  Html += table("Upstreams",
                {"service", "node", "data centre", "drain", "in flight",
                 "limit", "queued", "level", "mean latency"},
                Status.Upstreams);
  Html += table("Callers",
                {"caller", "owner", "importance", "calls/s", "in flight",
                 "cost/s", "refused"},
                Status.Callers);
  Html +=
      table("Nodes",
            {"node", "data centre", "service", "state", "incarnation", "HTTP"},
            Status.Members);
  return Html + "</body></html>\n";
}

} // namespace clementine
