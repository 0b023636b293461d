// Guards against configuration files that are parsed into other values than the
// operator wrote, and against errors without position and reason.

#define BOOST_TEST_MODULE config_file
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>
#include <vector>

#include "wire/config_file.h"
#include "wire/document_codec.h"

namespace foxtailquay {
namespace {

// A valid file. Each entry of the table below changes one place of it.
constexpr std::string_view kValidFile = R"(fleet:
  request_timeout: 2m
  queue_timeout: 1500ms
models:
  loom-8b: {prompt_price: 1, completion_price: 3}
services:
  orders:
    timeout: 20s
    calls:
      - {method: GET, path_prefix: /, repeatable: true}
backends:
  model-1: {kind: engine, zone: surat-1, models: [loom-8b]}
  orders-1: {kind: service, zone: surat-1, services: [orders]}
workspaces:
  studio:
    budgets: [{id: studio-main}]
    share_horizon: 45s
    rate_per_second: 2.5
)";

// Replaces the first occurrence of aOld, which must exist.
std::string ReplaceText(std::string aText, const std::string& aOld,
                        const std::string& aNew)
{
  const std::size_t at = aText.find(aOld);
  BOOST_REQUIRE(at != std::string::npos);
  return aText.replace(at, aOld.size(), aNew);
}

result<config_document> ParseConfig(const std::string& aText)
{
  auto file = ParseYaml(aText, "f.yaml");
  return IsOk(file) ? DecodeConfig(GetValue(file)) : GetError(file);
}

result<config_patch> ParsePatch(const std::string& aText)
{
  auto file = ParseYaml(aText, "p.yaml");
  return IsOk(file) ? DecodePatch(GetValue(file)) : GetError(file);
}

// A duration parsed with the wrong unit would be wrong by a factor of 1000.
BOOST_AUTO_TEST_CASE(durations_are_parsed_with_their_units)
{
  const auto read = ParseConfig(std::string(kValidFile));
  BOOST_REQUIRE_MESSAGE(
    IsOk(read), ToString(std::get_if<error>(&read) ? GetError(read) : error{}));
  const config_document& config = GetValue(read);
  BOOST_TEST(config.mVersion == 0u);
  BOOST_TEST((config.mFleet.mRequestTimeout == absl::Minutes(2)));
  BOOST_TEST((config.mFleet.mQueueTimeout == absl::Milliseconds(1500)));
  BOOST_TEST((config.mServices.at({ "orders" }).mTimeout == absl::Seconds(20)));
  const workspace_config& studio = config.mWorkspaces.at({ "studio" });
  BOOST_TEST((studio.mShareHorizon == absl::Seconds(45)));
  BOOST_TEST(studio.mRatePerSecond == 2.5);
}

// An operator restores a configuration from its JSON form in the store.
BOOST_AUTO_TEST_CASE(json_is_accepted_as_a_file)
{
  const auto read = ParseConfig(std::string(kValidFile));
  BOOST_REQUIRE(IsOk(read));
  const Json::Value json = ToJson(GetValue(read));
  const auto again = ParseConfig(ToText(json));
  BOOST_REQUIRE(IsOk(again));
  BOOST_TEST(ToText(ToJson(GetValue(again))) == ToText(json));
}

struct invalid_file
{
  // Text of the valid file and its replacement.
  std::string mOld;
  std::string mNew;
  // Prefix of the expected error's field.
  std::string mField;
  // Substring of the expected error's detail.
  std::string mDetail;
};

const std::vector<invalid_file>& ListInvalidFiles()
{
  static const std::vector<invalid_file> kFiles = {
    { "request_timeout: 2m", "request_timeout: 120",
      "f.yaml:2: fleet.request_timeout",
      "\"120\" is not a duration such as 20s, 1500ms or 2m" },
    { "request_timeout: 2m", "request_timeout: [2m]",
      "f.yaml:2: fleet.request_timeout", "is not a duration such as" },
    { "request_timeout: 2m", "request_timeout: 100us",
      "f.yaml:2: fleet.request_timeout",
      "\"100us\" is not a whole number of milliseconds" },
    { "request_timeout: 2m", "request_timeout: 25h",
      "f.yaml:2: fleet.request_timeout", "25h is not between 1ms and 24h" },
    { "request_timeout: 2m", "request_timeout_ms: 2m",
      "f.yaml:2: fleet.request_timeout_ms",
      "\"2m\" is not a whole number of milliseconds" },
    { "request_timeout: 2m", "request_timout: 2m",
      "f.yaml:2: fleet.request_timout", "is not a known field; known are" },
    { "queue_timeout: 1500ms", "request_timeout_ms: 3000",
      "f.yaml:3: fleet.request_timeout_ms", "is given twice" },
    { "queue_timeout: 1500ms", "request_timeout: 3s",
      "f.yaml:3: fleet.request_timeout", "is given twice" },
    { "queue_timeout: 1500ms", "queue_length: many",
      "f.yaml:3: fleet.queue_length", "\"many\" is not a whole number" },
    { "queue_timeout: 1500ms", "queue_length: \"5\"",
      "f.yaml:3: fleet.queue_length", "\"5\" is not a whole number" },
    { "queue_timeout: 1500ms", "queue_length: 99999999999999999999",
      "f.yaml:3: fleet.queue_length", "is not a whole number" },
    { "queue_timeout: 1500ms", "queue_length: -1",
      "f.yaml:3: fleet.queue_length", "-1 is not between 0 and 100000" },
    { "prompt_price: 1,", "prompt_price: 1.5,",
      "f.yaml:5: models.loom-8b.prompt_price", "1.5 is not a whole number" },
    { "loom-8b: {prompt", "\"loom 8b\": {prompt", "f.yaml:5: models.loom 8b",
      "\"loom 8b\" must be 1 to 128 letters" },
    { "timeout: 20s", "timeout: soon", "f.yaml:8: services.orders.timeout",
      "\"soon\" is not a duration" },
    { "path_prefix: /,", "path_prefix: orders,",
      "f.yaml:10: services.orders.calls[0].path",
      "\"orders\" does not start with /" },
    { "repeatable: true", "repeatable: yes",
      "f.yaml:10: services.orders.calls[0].repeatable",
      "\"yes\" is not true or false" },
    { "kind: engine", "kind: motor", "f.yaml:12: backends.model-1.kind",
      "\"motor\" is not one of engine, service" },
    { "models: [loom-8b]}", "models: [loom-9b]}",
      "f.yaml:12: backends.model-1.models",
      "\"loom-9b\" is not a configured model" },
    { "kind: service, zone: surat-1", "kind: service",
      "f.yaml:13: backends.orders-1.zone", "is missing" },
    { "[{id: studio-main}]", "[{id: a}, {pays_for: [b]}]",
      "f.yaml:16: workspaces.studio.budgets[1].id", "is missing" },
    { "[{id: studio-main}]", "[]", "f.yaml:16: workspaces.studio.budgets",
      "a workspace needs at least one budget" },
    { "share_horizon: 45s", "share_horizon: 0s",
      "f.yaml:17: workspaces.studio.share_horizon",
      "0 is not between 1ms and 24h" },
    { "share_horizon: 45s", "key_hashes: [abc]",
      "f.yaml:17: workspaces.studio.key_hashes", "64 lower-case hexadecimal" },
    { "rate_per_second: 2.5", "rate_per_second: .inf",
      "f.yaml:18: workspaces.studio.rate_per_second",
      "\".inf\" is not a number" },
    { "  rate_per_second: 2.5\n", "  rate_per_second: 2.5\n  studio: {}\n",
      "f.yaml:19: workspaces.studio", "is given twice" },
    { "rate_per_second: 2.5", "rate_per_second: [2.5", "f.yaml:19",
      "is not YAML" },
    { "workspaces:\n", "workspace:\n", "f.yaml:14: workspace",
      "is not a known field" },
    { "fleet:", "? [a]\n: b\nfleet:", "f.yaml:1",
      "a field name must be a string" },
    { "fleet:", "a: 1\n---\nfleet:", "f.yaml:1",
      "holds more than one YAML document" },
    { "fleet:", "fleet: {a: [[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]}\nold:",
      "f.yaml:1", "is nested deeper than 16 levels" },
  };
  return kFiles;
}

BOOST_AUTO_TEST_CASE(errors_name_line_field_value_and_expected_form)
{
  for (const invalid_file& bad : ListInvalidFiles()) {
    const auto read =
      ParseConfig(ReplaceText(std::string(kValidFile), bad.mOld, bad.mNew));
    BOOST_TEST_CONTEXT(bad.mNew)
    {
      BOOST_REQUIRE(!IsOk(read));
      const error& failed = GetError(read);
      BOOST_TEST((failed.mCode == error_code::InvalidConfig));
      BOOST_TEST(failed.mField.substr(0, bad.mField.size()) == bad.mField);
      BOOST_TEST(failed.mDetail.find(bad.mDetail) != std::string::npos,
                 failed.mDetail);
    }
  }
}

// A text without sections would otherwise be accepted as an empty
// configuration, or as an empty patch that only increases the version.
BOOST_AUTO_TEST_CASE(files_without_sections_are_rejected)
{
  for (const char* text :
       { "", "# only a comment\n", "just text\n", "- a\n", "null\n" }) {
    BOOST_TEST(!IsOk(ParseConfig(text)));
    BOOST_TEST(!IsOk(ParsePatch(text)));
  }
}

// Nested aliases let a short file expand to a billion values and exhaust the
// memory.
BOOST_AUTO_TEST_CASE(nested_aliases_are_bounded)
{
  std::string text = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n";
  for (int i = 1; i < 9; ++i) {
    const std::string last = "*a" + std::to_string(i - 1);
    text += "a" + std::to_string(i) + ": &a" + std::to_string(i) + " [" + last;
    for (int j = 1; j < 10; ++j) {
      text += ", " + last;
    }
    text += "]\n";
  }
  const auto read = ParseConfig(text);
  BOOST_REQUIRE(!IsOk(read));
  BOOST_TEST(GetError(read).mDetail.find("values") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(files_above_the_size_limit_are_rejected)
{
  const auto read = ParseConfig(std::string(kMaxConfigFileBytes + 1, '#'));
  BOOST_REQUIRE(!IsOk(read));
  BOOST_TEST(GetError(read).mDetail.find("more than the limit") !=
             std::string::npos);
}

// A removal that is parsed as an entry with default values would keep the
// backend server or workspace configured.
BOOST_AUTO_TEST_CASE(null_removes_an_entry_of_a_patch)
{
  const auto read = ParsePatch("if_version: 7\npatch_id: p1\n"
                               "models: {old: null, new: {}}\n"
                               "backends:\n  gone:\n"
                               "workspaces: {w: ~}\n");
  BOOST_REQUIRE(IsOk(read));
  const config_patch& patch = GetValue(read);
  BOOST_TEST(patch.mIfVersion == 7u);
  BOOST_TEST(patch.mPatchId == "p1");
  BOOST_TEST(!patch.mFleet.has_value());
  BOOST_TEST(!patch.mModels.at({ "old" }).has_value());
  BOOST_TEST(patch.mModels.at({ "new" }).has_value());
  BOOST_TEST(!patch.mBackends.at({ "gone" }).has_value());
  BOOST_TEST(!patch.mWorkspaces.at({ "w" }).has_value());
}

BOOST_AUTO_TEST_CASE(errors_in_patches_name_file_and_line)
{
  const auto read = ParsePatch("models:\n  a: {}\n  b: {max_tokens: lots}\n");
  BOOST_REQUIRE(!IsOk(read));
  BOOST_TEST(GetError(read).mField == "p.yaml:3: models.b.max_tokens");
}

// The field of an error that a router returns may be absent from the file.
BOOST_AUTO_TEST_CASE(errors_of_absent_fields_get_the_nearest_line)
{
  const auto file = ParseYaml("models:\n  a.b: {}\n", "p.yaml");
  BOOST_REQUIRE(IsOk(file));
  error failed;
  failed.mField = "models.a.b.max_tokens";
  BOOST_TEST(AddPosition(GetValue(file), failed).mField ==
             "p.yaml:2: models.a.b.max_tokens");
  failed.mField = "backends.x";
  BOOST_TEST(AddPosition(GetValue(file), failed).mField ==
             "p.yaml:1: backends.x");
  failed.mField = "";
  BOOST_TEST(AddPosition(GetValue(file), failed).mField == "p.yaml:1");
}

// Returns the text of a file of the examples folder.
std::string ReadExample(const std::string& aName)
{
  std::ifstream file(std::string(FOXTAILQUAY_SOURCE_DIR) + "/examples/" +
                     aName);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// The output of "config show" must be accepted by "config check" as the same
// configuration.
BOOST_AUTO_TEST_CASE(written_files_parse_to_the_same_configuration)
{
  std::vector<std::string> texts = { std::string(kValidFile),
                                     ReadExample("sabarmati.yaml"),
                                     ReadExample("ezerna.yaml") };
  // Adds texts that look like other types, and an id that is also a field name.
  texts.push_back(ReplaceText(std::string(kValidFile), "[{id: studio-main}]",
                              "[{id: \"007\", pays_for: [\"true\", \"1e5\"]}, "
                              "{id: \"null\"}]"));
  texts.push_back(
    ReplaceText(std::string(kValidFile), "  studio:", "  timeout:"));
  for (const std::string& text : texts) {
    const auto read = ParseConfig(text);
    BOOST_REQUIRE(IsOk(read));
    const auto again = ParseConfig(ToYaml(GetValue(read)));
    BOOST_REQUIRE_MESSAGE(IsOk(again), ToYaml(GetValue(read)));
    BOOST_TEST(ToText(ToJson(GetValue(again))) ==
               ToText(ToJson(GetValue(read))));
  }
}

} // namespace
} // namespace foxtailquay
