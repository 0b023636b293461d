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
constexpr std::size_t kTextWidth = 78;

// Breaks aText at spaces; each line starts with aIndent spaces.
std::string Wrap(std::string_view aText, std::size_t aIndent)
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

std::string Paragraphs(std::string_view aText, std::size_t aIndent)
{
  std::vector<std::string> paragraphs =
    absl::StrSplit(std::string(aText), "\n\n");
  for (std::string& paragraph : paragraphs) {
    paragraph = Wrap(paragraph, aIndent);
  }
  return absl::StrJoin(paragraphs, "\n");
}

std::string FlagEntry(cli_flag aFlag)
{
  const bool isSwitch = aFlag == cli_flag::Help || aFlag == cli_flag::Version;
  std::string text =
    absl::StrCat("  --", std::string(ToName(aFlag)), isSwitch ? "" : "=VALUE",
                 "\n", Wrap(HelpOf(aFlag), 6));
  if (IsInEnvironment(aFlag)) {
    absl::StrAppend(&text, "      Environment: ", EnvironmentNameOf(aFlag),
                    "\n");
  }
  return text;
}

std::string ExitCodeSection()
{
  std::string text = "EXIT CODES\n";
  for (const auto& entry : NameTable(exit_code{})) {
    absl::StrAppend(&text, "  ", static_cast<int>(entry.mValue), "  ",
                    std::string(entry.mName), "\n",
                    Wrap(DescriptionOf(entry.mValue), 6));
  }
  return text;
}

std::string Synopsis(const command& aCommand)
{
  return absl::StrCat(std::string(kProgram), " ", std::string(aCommand.mName),
                      aCommand.mArguments.empty() ? "" : " ",
                      std::string(aCommand.mArguments));
}

// The command named by the first words of aWords, or null.
const command* FindCommand(const std::vector<std::string>& aWords)
{
  for (const command& candidate : Commands()) {
    const std::vector<std::string> name =
      absl::StrSplit(std::string(candidate.mName), ' ');
    if (aWords.size() >= name.size() &&
        std::equal(name.begin(), name.end(), aWords.begin())) {
      return &candidate;
    }
  }
  return nullptr;
}

std::size_t WordsOf(const command& aCommand)
{
  return static_cast<std::size_t>(
    1 + std::count(aCommand.mName.begin(), aCommand.mName.end(), ' '));
}

cli_failure UnknownCommand(const std::vector<std::string>& aWords)
{
  if (aWords.empty()) {
    return UsageError("command",
                      "is missing; foxtailquayctl --help lists the commands");
  }
  std::vector<std::string> group;
  for (const command& candidate : Commands()) {
    if (candidate.mName.substr(0, candidate.mName.find(' ')) == aWords[0]) {
      group.push_back(absl::StrCat("\"", std::string(candidate.mName), "\""));
    }
  }
  return UsageError(
    "command",
    absl::StrCat("\"", absl::StrJoin(aWords, " "), "\" is unknown; ",
                 group.empty()
                   ? std::string("foxtailquayctl --help lists the commands")
                   : absl::StrCat("there are ", absl::StrJoin(group, ", "))));
}

cli_result<success> CheckUse(const command& aCommand, const parsed_line& aLine)
{
  const std::size_t count = aLine.mWords.size() - WordsOf(aCommand);
  if (count < aCommand.mMinArguments || count > aCommand.mMaxArguments) {
    return UsageError(
      std::string(aCommand.mName),
      absl::StrCat("wrong number of arguments; use: ", Synopsis(aCommand)));
  }
  for (const cli_flag flag : aLine.mGiven) {
    const bool known = flag == cli_flag::Output ||
                       std::find(aCommand.mFlags.begin(), aCommand.mFlags.end(),
                                 flag) != aCommand.mFlags.end();
    if (!known) {
      return UsageError(
        "--" + std::string(ToName(flag)),
        absl::StrCat("is not used by \"", std::string(aCommand.mName), "\""));
    }
  }
  return success{};
}

// "foxtailquayctl help config show" is the same as "config show --help".
std::string HelpFor(const std::vector<std::string>& aWords)
{
  const command* found = FindCommand(aWords);
  return found != nullptr ? MakeCommandHelp(*found) : MakeProgramHelp();
}

cli_result<success> RunLine(const parsed_line& aLine, cli_streams aStreams)
{
  const command* found = FindCommand(aLine.mWords);
  if (found == nullptr) {
    return UnknownCommand(aLine.mWords);
  }
  auto used = CheckUse(*found, aLine);
  if (!IsOk(used)) {
    return used;
  }
  auto settings = LoadSettings();
  if (!IsOk(settings)) {
    return GetError(settings);
  }
  const auto first =
    aLine.mWords.begin() + static_cast<std::ptrdiff_t>(WordsOf(*found));
  return found->mRun(
    { GetValue(settings), { first, aLine.mWords.end() }, aStreams });
}

bool WantsJson()
{
  std::string value;
  return gflags::GetCommandLineOption("output", &value) && value == "json";
}

exit_code Report(const cli_failure& aFailure, cli_streams aStreams)
{
  if (WantsJson()) {
    aStreams.mOut << ToPrettyText(FailureToJson(aFailure)) << "\n";
  }
  aStreams.mErr << kProgram << ": " << FailureToText(aFailure) << "\n";
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
    Paragraphs("Shows and changes the configuration, the prepaid budgets and "
               "the processes of a fleet, through the operator interface of "
               "any router. Flags may stand anywhere and may be written with "
               "dashes or underscores. A flag on the command line wins over "
               "the environment.",
               2),
    "\nCOMMANDS\n");
  std::size_t width = 0;
  for (const command& entry : Commands()) {
    width = std::max(width, entry.mName.size());
  }
  for (const command& entry : Commands()) {
    absl::StrAppend(&text, "  ", std::string(entry.mName),
                    std::string(width - entry.mName.size() + 2, ' '),
                    std::string(entry.mSummary), "\n");
  }
  absl::StrAppend(&text, "\n  foxtailquayctl COMMAND --help explains one "
                         "command.\n\nFLAGS\n");
  for (const auto& entry : NameTable(cli_flag{})) {
    absl::StrAppend(&text, FlagEntry(entry.mValue));
  }
  return absl::StrCat(text, "\n", ExitCodeSection());
}

std::string MakeCommandHelp(const command& aCommand)
{
  std::string text = absl::StrCat(
    "NAME\n  ", std::string(kProgram), " ", std::string(aCommand.mName), " - ",
    std::string(aCommand.mSummary), "\n\nSYNOPSIS\n  ", Synopsis(aCommand),
    " [--FLAG=VALUE...]\n\nDESCRIPTION\n", Paragraphs(aCommand.mHelp, 2),
    "\nFLAGS\n");
  for (const cli_flag flag : aCommand.mFlags) {
    absl::StrAppend(&text, FlagEntry(flag));
  }
  absl::StrAppend(&text, FlagEntry(cli_flag::Output));
  if (!aCommand.mExamples.empty()) {
    absl::StrAppend(&text, "\nEXAMPLES\n", std::string(aCommand.mExamples));
  }
  return absl::StrCat(text, "\n", ExitCodeSection());
}

exit_code RunProgram(const std::vector<std::string>& aArguments,
                     const environment& aEnvironment, cli_streams aStreams)
{
  auto line = ParseLine(aArguments, aEnvironment);
  if (!IsOk(line)) {
    return Report(GetError(line), aStreams);
  }
  parsed_line parsed = GetValue(std::move(line));
  if (!parsed.mWords.empty() && parsed.mWords[0] == "help") {
    parsed.mWords.erase(parsed.mWords.begin());
    parsed.mHelp = true;
  }
  if (parsed.mVersion) {
    aStreams.mOut << kProgram << " " << kVersion << "\n";
    return exit_code::Ok;
  }
  if (parsed.mHelp) {
    aStreams.mOut << HelpFor(parsed.mWords);
    return exit_code::Ok;
  }
  auto done = RunLine(parsed, aStreams);
  aStreams.mOut.flush();
  if (IsOk(done) && !aStreams.mOut) {
    done = UsageError("standard output", "cannot be written");
  }
  return IsOk(done) ? exit_code::Ok : Report(GetError(done), aStreams);
}

} // namespace foxtailquay
