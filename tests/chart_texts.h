// Reads the state charts of charts/ for tests that load them.

#ifndef TESTS_CHART_TEXTS_H
#define TESTS_CHART_TEXTS_H

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

namespace foxtailquay {

// Returns the texts of all chart files by file name.
inline std::map<std::string, std::string> ReadChartTexts()
{
  std::map<std::string, std::string> texts;
  for (const auto& entry : std::filesystem::directory_iterator(
         std::string(FOXTAILQUAY_SOURCE_DIR) + "/charts")) {
    std::ifstream file(entry.path());
    std::stringstream text;
    text << file.rdbuf();
    texts[entry.path().filename().string()] = text.str();
  }
  return texts;
}

} // namespace foxtailquay

#endif
