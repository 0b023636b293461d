// Guards against command lines that are accepted although they are invalid,
// wrong exit codes, incomplete help texts and output that a script or person
// misreads. Runs commands that need no router.

#define BOOST_TEST_MODULE cli
#include <boost/test/unit_test.hpp>

#include <set>

#include "cli/output.h"
#include "cli/text_table.h"
#include "cli_run.h"
#include "wire/document_codec.h"

namespace foxtailquay {
namespace {

// --- Command line -----------------------------------------------------------

struct command_line_case
{
  std::string mLine;
  exit_code mExit;
  // Text that the output contains, or standard error after a failure.
  std::string mExpectedText;
};

// If an invalid command line is executed, it may change the fleet in a way that
// the operator did not request. Exit code 2 guarantees that nothing was sent.
BOOST_AUTO_TEST_CASE(command_lines_are_parsed_and_checked)
{
  const std::vector<command_line_case> cases = {
    { "", exit_code::Usage, "command: is missing" },
    { "--help", exit_code::Ok, "SYNOPSIS" },
    { "-h", exit_code::Ok, "SYNOPSIS" },
    { "help", exit_code::Ok, "COMMANDS" },
    { "help config patch", exit_code::Ok, "foxtailquayctl config patch" },
    { "config patch --help", exit_code::Ok, "EXIT CODES" },
    { "--version", exit_code::Ok, "foxtailquayctl 0" },
    { "confg", exit_code::Usage, "\"confg\" is unknown" },
    { "config", exit_code::Usage, "there are \"config show\"" },
    { "config shw", exit_code::Usage, "there are \"config show\"" },
    { "config show", exit_code::Usage, "--router: is missing" },
    { "config show x", exit_code::Usage, "wrong number of" },
    { "config check", exit_code::Usage, "config check FILE" },
    { "workspace topup b", exit_code::Usage, "BUDGET AMOUNT" },
    { "state", exit_code::Usage, "state HOST" },
    { "--nosuch", exit_code::Usage, "--nosuch: unknown flag" },
    { "--flagfile=x", exit_code::Usage, "unknown flag" },
    { "-x", exit_code::Usage, "-x: unknown flag" },
    { "config show --router", exit_code::Usage, "needs a value" },
    { "--help=1", exit_code::Usage, "takes no value" },
    { "config show --if-version=1", exit_code::Usage,
      "is not used by \"config show\"" },
    { "config show --router=a:1", exit_code::Usage, "\"a:1\" is not IP:port" },
    { "config show --router=127.0.0.1", exit_code::Usage, "is not IP:port" },
    { "config show --router=127.0.0.1:0", exit_code::Usage, "is not IP:port" },
    { "config show --router=127.0.0.1:65536", exit_code::Usage,
      "is not IP:port" },
    { "config show --router=::1:80", exit_code::Usage, "is not IP:port" },
    { "config show --router=127.0.0.1:1, --timeout=0s", exit_code::Usage,
      "\"0s\" is not a duration between" },
    { "config show --timeout=5", exit_code::Usage, "\"5\" is not a duration" },
    { "config show --timeout=1s --timeout=2s", exit_code::Usage,
      "is given twice" },
    { "config show --output=xml", exit_code::Usage,
      "\"xml\" is not text or json" },
    { "config patch --if-version=x f", exit_code::Usage,
      "\"x\" is not a version number" },
    { "config patch --router=127.0.0.1:1 /no/such/file", exit_code::Usage,
      "/no/such/file: cannot be opened" },
    { "config check /", exit_code::Usage, "cannot be opened" },
    { "config show --operator_key_file=/no/such/file", exit_code::Usage,
      "/no/such/file: cannot be opened" },
    { "workspace topup b many", exit_code::Usage,
      "\"many\" is not a whole number from 1" },
    { "workspace topup b 0", exit_code::Usage, "\"0\" is not" },
    { "workspace topup -- b -5", exit_code::Usage, "\"-5\" is not" },
    { "workspace topup b 99999999999999999999", exit_code::Usage,
      "is not a whole number" },
    { "workspace release b r x", exit_code::Usage, "\"x\" is not a number" },
    { "state localhost", exit_code::Usage, "HOST: \"localhost\"" },
    { "charts --charts_dir=/no/such/folder", exit_code::Usage,
      "is not a folder with *.yaml files" },
  };
  for (const command_line_case& entry : cases) {
    const run_outcome run = RunCli(SplitWords(entry.mLine));
    BOOST_TEST_CONTEXT(entry.mLine)
    {
      BOOST_TEST(ToName(run.mExit) == ToName(entry.mExit));
      BOOST_TEST(Contains(run.mExit == exit_code::Ok ? run.mOut : run.mErr,
                          entry.mExpectedText),
                 run.mOut + run.mErr);
    }
  }
}

// Scripts rely on the numbers of the exit codes, and each help text must list
// them.
BOOST_AUTO_TEST_CASE(exit_codes_are_fixed_and_documented)
{
  const std::vector<std::string_view> names = {
    "ok",          "refused",          "usage",
    "unreachable", "version_conflict", "outcome_unknown"
  };
  BOOST_REQUIRE(CountEnumerators<exit_code>() == names.size());
  for (std::size_t i = 0; i < names.size(); ++i) {
    const auto code = static_cast<exit_code>(i);
    BOOST_TEST(ToName(code) == names[i]);
    for (const std::string& page :
         { MakeProgramHelp(), MakeCommandHelp(GetCommands().front()) }) {
      BOOST_TEST(Contains(page, "  " + std::to_string(i) + "  " +
                                  std::string(names[i]) + "\n"));
    }
  }
}

// Guards against a help text that lacks a command or a flag of a command, or
// has lines longer than 80 columns.
BOOST_AUTO_TEST_CASE(help_pages_are_complete)
{
  std::set<std::string_view> names;
  for (const command& entry : GetCommands()) {
    BOOST_TEST_CONTEXT(entry.mName)
    {
      BOOST_TEST(names.insert(entry.mName).second);
      BOOST_TEST((entry.mRun != nullptr));
      BOOST_TEST(Contains(MakeProgramHelp(), std::string(entry.mName)));
      const std::string page = MakeCommandHelp(entry);
      for (const cli_flag flag : entry.mFlags) {
        BOOST_TEST(Contains(page, "--" + std::string(ToName(flag)) + "="));
      }
      std::istringstream lines(page);
      for (std::string line; std::getline(lines, line);) {
        BOOST_TEST(line.size() <= 80u, line);
      }
    }
  }
}

// --- Offline commands -------------------------------------------------------

// The configuration files in examples/ must pass the check.
BOOST_AUTO_TEST_CASE(examples_are_valid)
{
  const std::string examples =
    std::string(FOXTAILQUAY_SOURCE_DIR) + "/examples/";
  const run_outcome sabarmati =
    RunCli({ "config", "check", examples + "sabarmati.yaml" });
  BOOST_TEST(ToName(sabarmati.mExit) == "ok", sabarmati.mErr);
  BOOST_TEST(Contains(sabarmati.mOut, "23 backend servers, 10 workspaces"));
  const run_outcome ezerna =
    RunCli({ "config", "check", examples + "ezerna.yaml" });
  BOOST_TEST(ToName(ezerna.mExit) == "ok", ezerna.mErr);
  BOOST_TEST(Contains(ezerna.mOut, "15 backend servers, 10 workspaces"));
}

// Guards against an offline check that accepts a patch which a router would
// refuse, because the patch is not checked together with the document.
BOOST_AUTO_TEST_CASE(patches_are_checked_on_top_of_a_document)
{
  const scratch_folder folder;
  const std::string document =
    WriteFile(folder, "doc.yaml",
              "version: 9\nmodels: {a: {}, b: {}}\n"
              "backends: {m: {kind: engine, zone: z, models: [a]}}\n");
  const std::string good =
    WriteFile(folder, "good.yaml", "models: {b: null}\n");
  const std::string bad =
    WriteFile(folder, "bad.yaml", "\nmodels: {a: null}\n");
  const std::string old =
    WriteFile(folder, "old.yaml", "if_version: 8\nmodels: {b: null}\n");
  const run_outcome applied =
    RunCli({ "config", "check", document, good, "--output=json" });
  BOOST_TEST(ToName(applied.mExit) == "ok", applied.mErr);
  BOOST_TEST(Contains(applied.mOut, "\"version\" : 10"), applied.mOut);
  const run_outcome refused =
    RunCli({ "config", "check", document, good, bad });
  BOOST_TEST(ToName(refused.mExit) == "usage");
  BOOST_TEST(
    Contains(refused.mErr, "bad.yaml:1: backends.m.models: \"a\" is not"),
    refused.mErr);
  const run_outcome stale = RunCli({ "config", "check", document, old });
  BOOST_TEST(ToName(stale.mExit) == "usage");
  BOOST_TEST(
    Contains(stale.mErr, "old.yaml:1: if_version: patch is for version 8"),
    stale.mErr);
}

// If the hash includes the line end after the key, the customer's key is
// refused.
BOOST_AUTO_TEST_CASE(key_hashes_ignore_the_line_end)
{
  constexpr char kHash[] =
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
  for (const char* input : { "abc", "abc\n", "abc\r\n" }) {
    BOOST_TEST(RunCli({ "config", "hash-key" }, input).mOut ==
               std::string(kHash) + "\n");
  }
  const std::vector<std::string> bad = { "", "\n", "a b\n", "a\nb\n",
                                         std::string(5000, 'x') };
  for (const std::string& input : bad) {
    BOOST_TEST(ToName(RunCli({ "config", "hash-key" }, input).mExit) ==
               "usage");
  }
}

// With --output=json, a failure must be printed as JSON with the fields that
// programs read.
BOOST_AUTO_TEST_CASE(failures_are_printed_as_json)
{
  const auto json =
    ParseJson(RunCli({ "config", "show", "--output=json" }).mOut);
  BOOST_REQUIRE(IsOk(json));
  BOOST_TEST(GetValue(json)["exit_code"].asInt() == 2);
  BOOST_TEST(GetValue(json)["exit_name"].asString() == "usage");
  BOOST_TEST(GetValue(json)["error"]["param"].asString() == "--router");
}

// A key with a line end in the middle could add header fields to the request.
BOOST_AUTO_TEST_CASE(operator_keys_must_be_one_word)
{
  const scratch_folder folder;
  for (const char* text : { "", "\n", "two words\n", "a\r\nX-Header: b\n" }) {
    const std::string path = WriteFile(folder, "key", text);
    BOOST_TEST(ToName(RunCli({ "config", "show", "--router=127.0.0.1:1",
                               "--operator_key_file=" + path })
                        .mExit) == "usage");
  }
}

// The page must show the charts ordered by file name, and an invalid chart must
// be reported with its file.
BOOST_AUTO_TEST_CASE(charts_are_rendered_in_order)
{
  const scratch_folder folder;
  WriteFile(folder, "b.yaml",
            "chart: b\ninitial: on\nstates:\n  on:\n    on:\n      stop:\n"
            "        - {guard: idle, target: off, actions: [report]}\n"
            "        - {target: on}\n  off: {final: true}\n");
  WriteFile(folder, "a.yaml",
            "chart: a\ninitial: only\nstates:\n  only:\n    ignore: [tick]\n");
  WriteFile(folder, "notes.txt", "not a chart");
  const run_outcome run =
    RunCli({ "charts", "--charts-dir=" + folder.mPath.string() });
  BOOST_TEST(ToName(run.mExit) == "ok", run.mErr);
  BOOST_TEST(
    Contains(run.mOut, "| `on` | `stop` | `idle` | `off` | `report` |"),
    run.mOut);
  BOOST_TEST(run.mOut.find("## a") < run.mOut.find("## b"));
  const std::string broken = WriteFile(folder, "c.yaml", "chart: [\n");
  const run_outcome refused =
    RunCli({ "charts", "--charts-dir=" + folder.mPath.string() });
  BOOST_TEST(ToName(refused.mExit) == "usage");
  BOOST_TEST(Contains(refused.mErr, "c.yaml:"), refused.mErr);
}

// Guards against a chart of the project that is missing on the page.
BOOST_AUTO_TEST_CASE(all_charts_of_the_project_are_rendered)
{
  const std::filesystem::path folder =
    std::filesystem::path(FOXTAILQUAY_SOURCE_DIR) / "charts";
  const run_outcome run =
    RunCli({ "charts", "--charts-dir=" + folder.string() });
  BOOST_REQUIRE_MESSAGE(run.mExit == exit_code::Ok, run.mErr);
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    BOOST_TEST(
      Contains(run.mOut, "\n## " + entry.path().stem().string() + "\n"),
      entry.path().string());
  }
}

// Names received from a router must not send escape sequences to the operator's
// terminal, and non-ASCII names must not shift columns.
BOOST_AUTO_TEST_CASE(tables_are_aligned_and_contain_no_control_characters)
{
  const text_table table{
    { "A", "N" },
    { 1 },
    { { "\xD1\x84\xD0\xB0", "5" }, { "x\x1b[2J", "10", "beyond" }, {} }
  };
  BOOST_TEST(RenderTable(table) == "A       N\n"
                                   "\xD1\x84\xD0\xB0      5\n"
                                   "x?[2J  10\n"
                                   "\n");
}

} // namespace
} // namespace foxtailquay
