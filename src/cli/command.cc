#include "cli/command.h"

#include <algorithm>
#include <ostream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "cli/output.h"
#include "gflags/gflags.h"

namespace foxtailquay {

namespace {

constexpr std::string_view kProgram = "foxtailquayctl";
constexpr std::string_view kVersion = "0.1";
// Maximum length of a line of a help text.
constexpr std::size_t kTextWidth = 78;

// Breaks aText into lines at spaces; each line starts with aIndent spaces.
std::string WrapText(std::string_view aText, std::size_t aIndent)
{
  const std::string indent(aIndent, ' ');
  std::string text;
  std::string line = indent;
  const std::vector<std::string> words = absl::StrSplit(
    std::string(aText), absl::ByAnyChar(" \n"), absl::SkipEmpty());
  for (const std::string& word : words) {
    if (line.size() > aIndent && line.size() + 1 + word.size() > kTextWidth) {
      text += line + "\n";
      line = indent;
    }
    line += (line.size() > aIndent ? " " : "") + word;
  }
  return text + line + "\n";
}

// Wraps each paragraph of aText; an empty line separates paragraphs.
std::string WrapParagraphs(std::string_view aText, std::size_t aIndent)
{
  std::vector<std::string> paragraphs =
    absl::StrSplit(std::string(aText), "\n\n");
  for (std::string& paragraph : paragraphs) {
    paragraph = WrapText(paragraph, aIndent);
  }
  return absl::StrJoin(paragraphs, "\n");
}

std::string MakeFlagEntry(cli_flag aFlag)
{
  const bool isSwitch = aFlag == cli_flag::Help || aFlag == cli_flag::Version;
  std::string text =
    absl::StrCat("  --", std::string(ToName(aFlag)), isSwitch ? "" : "=VALUE",
                 "\n", WrapText(GetFlagHelp(aFlag), 6));
  if (IsInEnvironment(aFlag)) {
    absl::StrAppend(&text, "      Environment: ", ToEnvironmentName(aFlag),
                    "\n");
  }
  return text;
}

std::string MakeExitCodeSection()
{
  std::string text = "EXIT CODES\n";
  for (const auto& entry : NameTable(exit_code{})) {
    absl::StrAppend(&text, "  ", static_cast<int>(entry.mValue), "  ",
                    std::string(entry.mName), "\n",
                    WrapText(GetDescription(entry.mValue), 6));
  }
  return text;
}

std::string MakeSynopsis(const command& aCommand)
{
  return absl::StrCat(std::string(kProgram), " ", std::string(aCommand.mName),
                      aCommand.mArguments.empty() ? "" : " ",
                      std::string(aCommand.mArguments));
}

// Returns the command whose name is the first words of aWords, or null.
const command* FindCommand(const std::vector<std::string>& aWords)
{
  for (const command& candidate : GetCommands()) {
    const std::vector<std::string> name =
      absl::StrSplit(std::string(candidate.mName), ' ');
    if (aWords.size() >= name.size() &&
        std::equal(name.begin(), name.end(), aWords.begin())) {
      return &candidate;
    }
  }
  return nullptr;
}

// Returns the number of words in the name of aCommand.
std::size_t CountNameWords(const command& aCommand)
{
  return static_cast<std::size_t>(
    1 + std::count(aCommand.mName.begin(), aCommand.mName.end(), ' '));
}

cli_failure MakeUnknownCommandError(const std::vector<std::string>& aWords)
{
  if (aWords.empty()) {
    return MakeUsageError(
      "command", "is missing; foxtailquayctl --help lists the commands");
  }
  std::vector<std::string> group;
  for (const command& candidate : GetCommands()) {
    if (candidate.mName.substr(0, candidate.mName.find(' ')) == aWords[0]) {
      group.push_back(absl::StrCat("\"", std::string(candidate.mName), "\""));
    }
  }
  return MakeUsageError(
    "command",
    absl::StrCat("\"", absl::StrJoin(aWords, " "), "\" is unknown; ",
                 group.empty()
                   ? std::string("foxtailquayctl --help lists the commands")
                   : absl::StrCat("there are ", absl::StrJoin(group, ", "))));
}

// Checks the number of arguments and that the command uses each flag that was
// given.
cli_result<success> CheckUsage(const command& aCommand,
                               const parsed_command_line& aLine)
{
  const std::size_t count = aLine.mWords.size() - CountNameWords(aCommand);
  if (count < aCommand.mMinArguments || count > aCommand.mMaxArguments) {
    return MakeUsageError(
      std::string(aCommand.mName),
      absl::StrCat("wrong number of arguments; use: ", MakeSynopsis(aCommand)));
  }
  for (const cli_flag flag : aLine.mGivenFlags) {
    const bool known = flag == cli_flag::Output ||
                       std::find(aCommand.mFlags.begin(), aCommand.mFlags.end(),
                                 flag) != aCommand.mFlags.end();
    if (!known) {
      return MakeUsageError(
        "--" + std::string(ToName(flag)),
        absl::StrCat("is not used by \"", std::string(aCommand.mName), "\""));
    }
  }
  return success{};
}

// Returns the help text of the command that aWords name, or of the program if
// they name none. "foxtailquayctl help config show" prints the same as
// "foxtailquayctl config show --help".
std::string MakeHelp(const std::vector<std::string>& aWords)
{
  const command* found = FindCommand(aWords);
  return found != nullptr ? MakeCommandHelp(*found) : MakeProgramHelp();
}

cli_result<success> RunCommand(const parsed_command_line& aLine,
                               cli_streams aStreams)
{
  const command* found = FindCommand(aLine.mWords);
  if (found == nullptr) {
    return MakeUnknownCommandError(aLine.mWords);
  }
  auto used = CheckUsage(*found, aLine);
  if (!IsOk(used)) {
    return used;
  }
  auto settings = ReadCliSettings();
  if (!IsOk(settings)) {
    return GetError(settings);
  }
  const auto first =
    aLine.mWords.begin() + static_cast<std::ptrdiff_t>(CountNameWords(*found));
  return found->mRun(
    { GetValue(settings), { first, aLine.mWords.end() }, aStreams });
}

// Reads the gflag instead of the settings, since the settings may be invalid.
bool IsJsonRequested()
{
  std::string value;
  return gflags::GetCommandLineOption("output", &value) && value == "json";
}

exit_code PrintFailure(const cli_failure& aFailure, cli_streams aStreams)
{
  if (IsJsonRequested()) {
    aStreams.mOut << ToPrettyText(ToJson(aFailure)) << "\n";
  }
  aStreams.mErr << kProgram << ": " << ToText(aFailure) << "\n";
  return aFailure.mExit;
}

} // namespace

std::string MakeProgramHelp()
{
  std::string text = absl::StrCat(
    "NAME\n  ", std::string(kProgram),
    " - operate a foxtailquay router fleet\n\nSYNOPSIS\n  ",
    std::string(kProgram), " COMMAND [ARGUMENT...] [--FLAG=VALUE...]\n\n",
    "DESCRIPTION\n",
    WrapParagraphs(
      "Shows and changes the configuration, the prepaid budgets and "
      "the processes of a fleet, through the operator interface of "
      "any router. Flags may stand anywhere and may be written with "
      "dashes or underscores. A flag on the command line wins over "
      "the environment.",
      2),
    "\nCOMMANDS\n");
  std::size_t width = 0;
  for (const command& entry : GetCommands()) {
    width = std::max(width, entry.mName.size());
  }
  for (const command& entry : GetCommands()) {
    absl::StrAppend(&text, "  ", std::string(entry.mName),
                    std::string(width - entry.mName.size() + 2, ' '),
                    std::string(entry.mSummary), "\n");
  }
  absl::StrAppend(&text, "\n  foxtailquayctl COMMAND --help explains one "
                         "command.\n\nFLAGS\n");
  for (const auto& entry : NameTable(cli_flag{})) {
    absl::StrAppend(&text, MakeFlagEntry(entry.mValue));
  }
  return absl::StrCat(text, "\n", MakeExitCodeSection());
}

std::string MakeCommandHelp(const command& aCommand)
{
  std::string text = absl::StrCat(
    "NAME\n  ", std::string(kProgram), " ", std::string(aCommand.mName), " - ",
    std::string(aCommand.mSummary), "\n\nSYNOPSIS\n  ", MakeSynopsis(aCommand),
    " [--FLAG=VALUE...]\n\nDESCRIPTION\n", WrapParagraphs(aCommand.mHelp, 2),
    "\nFLAGS\n");
  for (const cli_flag flag : aCommand.mFlags) {
    absl::StrAppend(&text, MakeFlagEntry(flag));
  }
  absl::StrAppend(&text, MakeFlagEntry(cli_flag::Output));
  if (!aCommand.mExamples.empty()) {
    absl::StrAppend(&text, "\nEXAMPLES\n", std::string(aCommand.mExamples));
  }
  return absl::StrCat(text, "\n", MakeExitCodeSection());
}

exit_code RunProgram(const std::vector<std::string>& aArguments,
                     const environment& aEnvironment, cli_streams aStreams)
{
  auto line = ParseCommandLine(aArguments, aEnvironment);
  if (!IsOk(line)) {
    return PrintFailure(GetError(line), aStreams);
  }
  parsed_command_line parsed = GetValue(std::move(line));
  if (!parsed.mWords.empty() && parsed.mWords[0] == "help") {
    parsed.mWords.erase(parsed.mWords.begin());
    parsed.mHelp = true;
  }
  if (parsed.mVersion) {
    aStreams.mOut << kProgram << " " << kVersion << "\n";
    return exit_code::Ok;
  }
  if (parsed.mHelp) {
    aStreams.mOut << MakeHelp(parsed.mWords);
    return exit_code::Ok;
  }
  auto done = RunCommand(parsed, aStreams);
  aStreams.mOut.flush();
  if (IsOk(done) && !aStreams.mOut) {
    done = MakeUsageError("standard output", "cannot be written");
  }
  return IsOk(done) ? exit_code::Ok : PrintFailure(GetError(done), aStreams);
}

} // namespace foxtailquay
