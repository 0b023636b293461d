// Guards against pages that differ from the programs: error codes, settings,
// log events and metrics that are missing on the operators' page or no longer
// exist, links to missing files and command lines with unknown commands.

#define BOOST_TEST_MODULE docs
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "cli/command.h"
#include "foxtailquay/error.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

namespace foxtailquay {
namespace {

const std::filesystem::path kRoot = FOXTAILQUAY_SOURCE_DIR;

std::string ReadPage(const std::string& aPath)
{
  std::ifstream file(kRoot / aPath);
  BOOST_REQUIRE_MESSAGE(file.good(), aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns the cells of each row of the table under the heading aHeading, by the
// first cell without its backquotes.
std::map<std::string, std::vector<std::string>> ParseTable(
  const std::string& aText, const std::string& aHeading)
{
  std::istringstream lines(aText);
  std::map<std::string, std::vector<std::string>> rows;
  bool inside = false;
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line[0] == '#') {
      inside = line == aHeading;
    }
    if (!inside || line.rfind("| `", 0) != 0) {
      continue;
    }
    std::vector<std::string> cells;
    std::istringstream parts(line.substr(2));
    for (std::string cell; std::getline(parts, cell, '|');) {
      cells.push_back(std::regex_replace(cell, std::regex("^ +| +$"), ""));
    }
    const std::string name = cells[0].substr(1, cells[0].size() - 2);
    BOOST_TEST(rows.emplace(name, cells).second, name + " occurs twice");
  }
  return rows;
}

template<typename Rows>
std::set<std::string> ListNames(const Rows& aRows)
{
  std::set<std::string> names;
  for (const auto& row : aRows) {
    names.insert(row.first);
  }
  return names;
}

template<typename Enum>
void AddNames(std::set<std::string>& aInto)
{
  for (const auto& entry : NameTable(Enum{})) {
    aInto.emplace(entry.mName);
  }
}

BOOST_AUTO_TEST_CASE(error_codes_are_documented_with_their_status)
{
  const auto rows =
    ParseTable(ReadPage("docs/OPERATIONS.md"), "## Error codes");
  std::set<std::string> names;
  AddNames<error_code>(names);
  BOOST_TEST(ListNames(rows) == names, boost::test_tools::per_element());
  for (const auto& entry : NameTable(error_code{})) {
    const auto row = rows.find(std::string(entry.mName));
    BOOST_REQUIRE(row != rows.end());
    BOOST_REQUIRE(row->second.size() == 4u);
    BOOST_TEST(row->second[1] == std::to_string(ToHttpStatus(entry.mValue)),
               entry.mName);
    BOOST_TEST(!row->second[2].empty());
    BOOST_TEST(!row->second[3].empty());
  }
}

BOOST_AUTO_TEST_CASE(log_events_and_metrics_are_documented)
{
  const std::string page = ReadPage("docs/OPERATIONS.md");
  std::set<std::string> events;
  AddNames<log_event>(events);
  BOOST_TEST(ListNames(ParseTable(page, "## Logs")) == events,
             boost::test_tools::per_element());
  std::set<std::string> metrics;
  AddNames<counter>(metrics);
  AddNames<histogram>(metrics);
  AddNames<gauge>(metrics);
  BOOST_TEST(ListNames(ParseTable(page, "## Metrics")) == metrics,
             boost::test_tools::per_element());
  for (const auto& component : NameTable(log_component{})) {
    BOOST_TEST(page.find("`" + std::string(component.mName) + "`") !=
                 std::string::npos,
               component.mName);
  }
}

// The flags are read from the source, since the flags of foxtailquayd and
// foxtailquayctl cannot be linked into one program.
BOOST_AUTO_TEST_CASE(settings_are_documented)
{
  const std::string source = ReadPage("src/runtime/settings.cc");
  // Name and default value, with or without quotes.
  const std::regex pattern(R"re(DEFINE_\w+\((\w+),\s*"?([^",]*)"?,)re");
  std::map<std::string, std::string> flags;
  for (std::sregex_iterator it(source.begin(), source.end(), pattern), end;
       it != end; ++it) {
    flags["--" + (*it)[1].str()] = (*it)[2].str();
  }
  BOOST_REQUIRE(!flags.empty());
  const auto rows =
    ParseTable(ReadPage("docs/OPERATIONS.md"), "## Settings of foxtailquayd");
  BOOST_TEST(ListNames(rows) == ListNames(flags),
             boost::test_tools::per_element());
  const std::string design = ReadPage("docs/design.md");
  for (const auto& [flag, value] : flags) {
    BOOST_TEST(design.find("`" + flag + "`") != std::string::npos, flag);
    BOOST_REQUIRE(rows.count(flag) == 1u);
    BOOST_TEST(rows.at(flag)[2] == (value.empty() ? "" : "`" + value + "`"),
               flag);
  }
}

BOOST_AUTO_TEST_CASE(exit_codes_are_documented)
{
  const std::string page = ReadPage("docs/OPERATIONS.md");
  for (const auto& entry : NameTable(exit_code{})) {
    const std::string row = "| " +
                            std::to_string(static_cast<int>(entry.mValue)) +
                            " | `" + std::string(entry.mName) + "` |";
    BOOST_TEST(page.find(row) != std::string::npos, row);
  }
}

// Operators copy command lines from the pages, so that each must name a command
// of the program.
BOOST_AUTO_TEST_CASE(command_lines_on_the_pages_exist)
{
  const std::regex pattern(R"(foxtailquayctl ([a-z][a-z-]*( [a-z][a-z-]*)?))");
  for (const char* path : { "README.md", "docs/OPERATIONS.md" }) {
    const std::string page = ReadPage(path);
    for (std::sregex_iterator it(page.begin(), page.end(), pattern), end;
         it != end; ++it) {
      const std::string words = (*it)[1].str() + " ";
      bool known = false;
      for (const command& entry : GetCommands()) {
        known = known || words.rfind(std::string(entry.mName) + " ", 0) == 0;
      }
      BOOST_TEST(known, std::string(path) + ": " + words);
    }
  }
}

BOOST_AUTO_TEST_CASE(links_point_to_existing_files)
{
  const std::regex pattern(R"(\]\(([^)#:]+)(#[^)]*)?\))");
  for (const char* path :
       { "README.md", "docs/OPERATIONS.md", "docs/glossary.md" }) {
    const std::string page = ReadPage(path);
    const auto folder = (kRoot / path).parent_path();
    for (std::sregex_iterator it(page.begin(), page.end(), pattern), end;
         it != end; ++it) {
      BOOST_TEST(std::filesystem::exists(folder / (*it)[1].str()),
                 std::string(path) + ": " + (*it)[1].str());
    }
  }
}

} // namespace
} // namespace foxtailquay
