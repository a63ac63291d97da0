// Reports of a load result: a table for a terminal and an HTML page with plots.

#include <algorithm>
#include <cstdio>

#include "standin/load.h"

namespace standin {
namespace {

constexpr double kPlotWidth = 720;
constexpr double kPlotHeight = 180;

double HitRate(const load_result& result) {
  return result.prompt_tokens == 0
             ? 0
             : static_cast<double>(result.cached_tokens) /
                   static_cast<double>(result.prompt_tokens);
}

std::string Row(const char* name, double value, const char* unit) {
  char line[128];
  std::snprintf(line, sizeof line, "  %-26s %12.6g %s\n", name, value, unit);
  return line;
}

std::string Row(const char* name, std::uint64_t value) {
  char line[128];
  std::snprintf(line, sizeof line, "  %-26s %12llu\n", name,
                static_cast<unsigned long long>(value));
  return line;
}

// Returns a line plot of one series as HTML.
std::string Plot(const std::string& title,
                 const std::vector<double>& values,
                 const std::string& unit) {
  double top = 1e-9;
  for (const double value : values)
    top = std::max(top, value);
  std::string points;
  char text[160];
  const double step = values.size() > 1
                          ? kPlotWidth / static_cast<double>(values.size() - 1)
                          : kPlotWidth;
  for (std::size_t i = 0; i < values.size(); ++i) {
    std::snprintf(text, sizeof text, "%.1f,%.1f ",
                  static_cast<double>(i) * step,
                  kPlotHeight - values[i] / top * kPlotHeight);
    points += text;
  }
  std::snprintf(text, sizeof text, "%.4g", top);
  return "<h2>" + title + " (top " + text + " " + unit +
         ")</h2>\n<svg viewBox=\"-4 -4 728 188\" width=\"728\" "
         "height=\"188\"><rect width=\"720\" height=\"180\" fill=\"#f4f4f4\"/>"
         "<polyline fill=\"none\" stroke=\"#0a5\" stroke-width=\"2\" "
         "points=\"" +
         points + "\"/></svg>\n";
}

}  // namespace

std::string ResultTable(const load_result& result) {
  std::string out;
  out += Row("requests", result.requests);
  out += Row("answered whole", result.completed);
  out += Row("refused, not run", result.refused);
  out += Row("failed with an error", result.failed);
  out += Row("lost, no outcome reported", result.lost);
  out += Row("wrong content", result.wrong);
  out += Row("streams sent again", result.stream_retries);
  out += Row("time to first token p50", Quantile(result.ttft, 0.5) * 1e3, "ms");
  out +=
      Row("time to first token p95", Quantile(result.ttft, 0.95) * 1e3, "ms");
  out +=
      Row("time to first token p99", Quantile(result.ttft, 0.99) * 1e3, "ms");
  out += Row("prefix hit rate", HitRate(result) * 100, "%");
  out += Row("prompt tokens", result.prompt_tokens);
  out += Row("prefilled prompt tokens",
             result.prompt_tokens - result.cached_tokens);
  return out;
}

std::string ResultHtml(const load_result& result, const std::string& title) {
  std::vector<double> started;
  std::vector<double> completed;
  std::vector<double> p95;
  for (const load_interval& second : result.seconds) {
    started.push_back(static_cast<double>(second.started));
    completed.push_back(static_cast<double>(second.completed));
    p95.push_back(Quantile(second.ttft, 0.95) * 1e3);
  }
  std::vector<double> quantiles;
  for (int percent = 1; percent < 100; ++percent)
    quantiles.push_back(Quantile(result.ttft, percent / 100.0) * 1e3);
  return "<!doctype html><html><head><meta charset=\"utf-8\"><title>" + title +
         "</title><style>body{font-family:sans-serif;margin:2em}"
         "h2{font-size:1em}</style></head><body><h1>" +
         title + "</h1><pre>" + ResultTable(result) + "</pre>\n" +
         Plot("Requests started in each second", started, "") +
         Plot("Requests completed in each second", completed, "") +
         Plot("Time to first token, p95 of each second", p95, "ms") +
         Plot("Time to first token by quantile, 1% to 99%", quantiles, "ms") +
         "</body></html>\n";
}

}  // namespace standin
