#include "sim_charts.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace foxtailquay::scenario {

namespace {

result<std::string> ReadFileText(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return error{ error_code::InvalidChart, executed::No,
                  aPath.filename().string(), "cannot read chart file",
                  absl::ZeroDuration() };
  }
  return text.str();
}

template<typename State, typename Event, typename Guard, typename Action>
result<success> ReadChart(chart<State, Event, Guard, Action>& aChart,
                          const std::filesystem::path& aPath)
{
  auto text = ReadFileText(aPath);
  if (!IsOk(text)) {
    return GetError(text);
  }
  auto loaded = LoadChart<State, Event, Guard, Action>(
    GetValue(text), aPath.filename().string());
  if (!IsOk(loaded)) {
    return GetError(loaded);
  }
  aChart = GetValue(std::move(loaded));
  return success{};
}

result<std::map<std::string, std::string>> ReadChartTexts(
  const std::filesystem::path& aFolder)
{
  std::map<std::string, std::string> texts;
  std::error_code failure;
  for (const auto& entry :
       std::filesystem::directory_iterator(aFolder, failure)) {
    if (entry.path().extension() == ".yaml") {
      auto text = ReadFileText(entry.path());
      if (!IsOk(text)) {
        return GetError(text);
      }
      texts[entry.path().filename().string()] = GetValue(std::move(text));
    }
  }
  return texts;
}

} // namespace

result<sim_charts> ReadSimCharts(const std::string& aSourceDir)
{
  const std::filesystem::path root(aSourceDir);
  const auto simCharts = root / "tests" / "scenario" / "charts";
  sim_charts charts;
  for (const auto& loaded :
       { ReadChart(charts.mProcess, simCharts / "sim_process.yaml"),
         ReadChart(charts.mRun, simCharts / "sim_run.yaml") }) {
    if (!IsOk(loaded)) {
      return GetError(loaded);
    }
  }
  auto texts = ReadChartTexts(root / "charts");
  if (!IsOk(texts)) {
    return GetError(texts);
  }
  auto nodes = LoadCharts(GetValue(texts));
  if (!IsOk(nodes)) {
    return GetError(nodes);
  }
  charts.mNodes = GetValue(std::move(nodes));
  return charts;
}

} // namespace foxtailquay::scenario
