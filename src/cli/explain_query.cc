#include "cli/explain_query.h"

#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "cli/settings.h"
#include "gflags/gflags.h"

DEFINE_string(host, "", "Host of the request, as in its Host header.");
DEFINE_string(path, "", "Path of the request, which begins with a slash.");
DEFINE_string(api_key_file, "",
              "File that contains the API key of the request, on one line.");
DEFINE_string(workspace, "",
              "Workspace of the request, in place of an API key.");
DEFINE_string(attempt, "",
              "The caller's id of the attempt. It selects the service if the "
              "route has several.");
DEFINE_string(tokens, "",
              "Tokens of the request, as PROMPT,MAX_OUTPUT. Default: none.");
DEFINE_string(prompt_parts, "",
              "Prefixes of the prompt, as HASH:TOKENS[,HASH:TOKENS...] with "
              "hexadecimal hashes.");
DEFINE_string(length_hint, "", "Output tokens that the caller expects.");
DEFINE_string(time_left, "",
              "Time that the caller waits for the response, for example 2s.");

namespace foxtailquay {

namespace {

bool ParseTokens(absl::string_view aText, token_count& aTokens)
{
  return absl::SimpleAtoi(aText, &aTokens) && aTokens >= 0 &&
         aTokens <= kMaxTokenCount;
}

cli_failure MakeFlagError(cli_flag aFlag, const std::string& aValue,
                          const char* aExpected)
{
  return MakeUsageError(absl::StrCat("--", std::string(ToName(aFlag))),
                        absl::StrCat("\"", aValue, "\" is not ", aExpected));
}

cli_result<success> ParseTarget(explain_query& aQuery)
{
  if (FLAGS_host.empty()) {
    return MakeUsageError("--host", "is missing");
  }
  if (FLAGS_path.empty() || FLAGS_path[0] != '/' ||
      FLAGS_path.find('?') != std::string::npos) {
    return MakeFlagError(cli_flag::Path, FLAGS_path,
                         "a path that begins with a slash, without a query");
  }
  aQuery.mHost = FLAGS_host;
  aQuery.mPath = FLAGS_path;
  aQuery.mAttemptId = FLAGS_attempt;
  return success{};
}

cli_result<success> ParsePayer(explain_query& aQuery)
{
  if (!FLAGS_workspace.empty() && !FLAGS_api_key_file.empty()) {
    return MakeUsageError("--workspace", "replaces --api_key_file; give one");
  }
  auto key = ReadKeyFile(cli_flag::ApiKeyFile, FLAGS_api_key_file);
  if (!IsOk(key)) {
    return GetError(key);
  }
  aQuery.mKey = GetValue(std::move(key));
  aQuery.mWorkspace = workspace_id{ FLAGS_workspace };
  return success{};
}

cli_result<success> ParseWork(explain_query& aQuery)
{
  if (!FLAGS_tokens.empty()) {
    const std::vector<std::string> parts = absl::StrSplit(FLAGS_tokens, ',');
    if (parts.size() != 2 || !ParseTokens(parts[0], aQuery.mPromptTokens) ||
        !ParseTokens(parts[1], aQuery.mMaxOutputTokens)) {
      return MakeFlagError(cli_flag::Tokens, FLAGS_tokens,
                           "two numbers of tokens, for example 1460,80");
    }
  }
  if (!FLAGS_length_hint.empty()) {
    token_count hint = 0;
    if (!ParseTokens(FLAGS_length_hint, hint)) {
      return MakeFlagError(cli_flag::LengthHint, FLAGS_length_hint,
                           "a number of tokens");
    }
    aQuery.mLengthHint = hint;
  }
  return success{};
}

cli_result<success> ParseParts(explain_query& aQuery)
{
  for (const absl::string_view text :
       absl::StrSplit(FLAGS_prompt_parts, ',', absl::SkipEmpty())) {
    const std::vector<std::string> pair = absl::StrSplit(text, ':');
    prompt_part part;
    if (pair.size() != 2 || !absl::SimpleHexAtoi(pair[0], &part.mHash) ||
        !ParseTokens(pair[1], part.mTokens)) {
      return MakeFlagError(cli_flag::PromptParts, FLAGS_prompt_parts,
                           "a list of hashes with numbers of tokens, for "
                           "example 5c1e07a2:800,91bd3f06:410");
    }
    aQuery.mPromptParts.push_back(part);
  }
  return success{};
}

cli_result<success> ParseTimeLeft(explain_query& aQuery)
{
  absl::Duration left;
  if (FLAGS_time_left.empty()) {
    return success{};
  }
  if (!absl::ParseDuration(FLAGS_time_left, &left) ||
      left < absl::ZeroDuration() || left > absl::Hours(24)) {
    return MakeFlagError(cli_flag::TimeLeft, FLAGS_time_left,
                         "a duration of at most 24h, for example 2s");
  }
  aQuery.mTimeLeft = left;
  return success{};
}

} // namespace

cli_result<explain_query> ReadExplainQuery()
{
  explain_query query;
  for (const auto parse :
       { &ParseTarget, &ParsePayer, &ParseWork, &ParseParts, &ParseTimeLeft }) {
    const auto parsed = parse(query);
    if (!IsOk(parsed)) {
      return GetError(parsed);
    }
  }
  return query;
}

} // namespace foxtailquay
