#include "cli/chart_pages.h"

#include <algorithm>
#include <deque>
#include <filesystem>
#include <system_error>
#include <vector>

#include "absl/strings/str_cat.h"
#include "cli/settings.h"
#include "foxtailquay/chart.h"
#include "yaml-cpp/yaml.h"

namespace foxtailquay {

namespace {

constexpr std::size_t kMaxChartBytes = 1u << 20u;

// The names that a chart file uses, in the order of their first use. They are
// collected from the file itself, so that any chart can be rendered;
// foxtailquayd checks them against the names that its code defines.
struct name_collector
{
  // Owns the text of the views in mNames. A deque does not move its elements
  // when it grows.
  std::deque<std::string> mStoredTexts;
  chart_names mNames;
};

// Adds the text of aNode to aInto unless it is there already.
void CollectName(name_collector& aNames, std::vector<std::string_view>& aInto,
                 const YAML::Node& aNode)
{
  if (!aNode.IsScalar()) {
    return;
  }
  const std::string& text = aNode.Scalar();
  if (std::find(aInto.begin(), aInto.end(), text) == aInto.end()) {
    aInto.push_back(aNames.mStoredTexts.emplace_back(text));
  }
}

void CollectTransition(name_collector& aNames, const YAML::Node& aTransition)
{
  if (!aTransition.IsMap()) {
    return;
  }
  if (aTransition["guard"]) {
    CollectName(aNames, aNames.mNames.mGuards, aTransition["guard"]);
  }
  if (aTransition["actions"] && aTransition["actions"].IsSequence()) {
    for (const auto& action : aTransition["actions"]) {
      CollectName(aNames, aNames.mNames.mActions, action);
    }
  }
}

void CollectState(name_collector& aNames, const YAML::Node& aState)
{
  if (aState["on"] && aState["on"].IsMap()) {
    for (const auto& event : aState["on"]) {
      CollectName(aNames, aNames.mNames.mEvents, event.first);
      if (event.second.IsSequence()) {
        for (const auto& transition : event.second) {
          CollectTransition(aNames, transition);
        }
      }
    }
  }
  if (aState["ignore"] && aState["ignore"].IsSequence()) {
    for (const auto& event : aState["ignore"]) {
      CollectName(aNames, aNames.mNames.mEvents, event);
    }
  }
}

// Collects the names in aText and ignores errors, which ParseChart reports.
void CollectChart(name_collector& aNames, const std::string& aText)
{
  try {
    const YAML::Node root = YAML::Load(aText);
    if (!root.IsMap() || !root["states"] || !root["states"].IsMap()) {
      return;
    }
    for (const auto& state : root["states"]) {
      CollectName(aNames, aNames.mNames.mStates, state.first);
      if (state.second.IsMap()) {
        CollectState(aNames, state.second);
      }
    }
  } catch (const YAML::Exception&) {
    aNames.mNames = {};
  }
}

cli_result<std::string> RenderChart(const std::string& aPath)
{
  auto text = ReadFile(aPath, kMaxChartBytes);
  if (!IsOk(text)) {
    return text;
  }
  name_collector names;
  CollectChart(names, GetValue(text));
  auto chart = ParseChart(GetValue(text), aPath, names.mNames);
  if (!IsOk(chart)) {
    return MakeLocalError(GetError(chart));
  }
  return ToMarkdown(GetValue(chart), names.mNames);
}

} // namespace

cli_result<std::string> RenderCharts(const std::string& aFolder)
{
  std::error_code failed;
  std::vector<std::string> paths;
  for (const auto& entry :
       std::filesystem::directory_iterator(aFolder, failed)) {
    if (entry.path().extension() == ".yaml") {
      paths.push_back(entry.path().string());
    }
  }
  if (failed || paths.empty()) {
    return MakeUsageError(
      "--charts_dir",
      absl::StrCat("\"", aFolder, "\" is not a folder with *.yaml files"));
  }
  std::sort(paths.begin(), paths.end());
  std::string page = "# State charts\n";
  for (const std::string& path : paths) {
    auto chart = RenderChart(path);
    if (!IsOk(chart)) {
      return chart;
    }
    absl::StrAppend(&page, "\n", GetValue(chart));
  }
  return page;
}

} // namespace foxtailquay
