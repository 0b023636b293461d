// Strict parsing of YAML mappings: a table has a parser for each field, and an
// unknown field or an invalid value is an error with file and line.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_YAML_FIELDS_H
#define FOXTAILQUAY_TESTS_SCENARIO_YAML_FIELDS_H

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "foxtailquay/result.h"
#include "yaml-cpp/yaml.h"

namespace foxtailquay::scenario {

// Returns an InvalidConfig error whose mField is "file:line" of aNode.
inline error MakeYamlError(const std::string& aFile, const YAML::Node& aNode,
                           std::string aDetail)
{
  return error{ error_code::InvalidConfig, executed::No,
                absl::StrCat(aFile, ":", aNode.Mark().line + 1),
                std::move(aDetail), absl::ZeroDuration() };
}

// Exception used between the parsers of this folder. The public functions catch
// it and return its error as a result, like the exceptions of yaml-cpp.
struct yaml_failure
{
  error mError;
};

// Returns the value of a scalar or sequence. Throws yaml_failure if it has
// another type.
template<typename Value>
Value ParseAs(const YAML::Node& aNode, const std::string& aFile)
{
  try {
    return aNode.as<Value>();
  } catch (const YAML::Exception&) {
    throw yaml_failure{ MakeYamlError(aFile, aNode, "wrong type of value") };
  }
}

// Returns a duration written as 250ms, 5s or 10m. Throws yaml_failure.
inline absl::Duration ParseDuration(const YAML::Node& aNode,
                                    const std::string& aFile)
{
  absl::Duration duration;
  if (!aNode.IsScalar() || !absl::ParseDuration(aNode.Scalar(), &duration)) {
    throw yaml_failure{ MakeYamlError(aFile, aNode, "expected a duration") };
  }
  return duration;
}

// Returns the enumerator with the name in aNode. Throws yaml_failure.
template<typename Enum>
Enum ParseEnum(const YAML::Node& aNode, const std::string& aFile)
{
  const auto value = FromName<Enum>(aNode.IsScalar() ? aNode.Scalar() : "");
  if (!value) {
    throw yaml_failure{ MakeYamlError(
      aFile, aNode,
      absl::StrCat("unknown word \"", aNode.IsScalar() ? aNode.Scalar() : "",
                   "\"")) };
  }
  return *value;
}

// Returns a list of names; a scalar is a list with one name. Throws
// yaml_failure.
inline std::vector<std::string> ParseNames(const YAML::Node& aNode,
                                           const std::string& aFile)
{
  if (aNode.IsScalar()) {
    return { aNode.Scalar() };
  }
  return ParseAs<std::vector<std::string>>(aNode, aFile);
}

template<typename Struct>
using field_parsers =
  std::map<std::string,
           std::function<void(Struct&, const YAML::Node&, const std::string&)>>;

// Parses each field of the mapping aNode with its parser. Throws yaml_failure
// if a field has none.
template<typename Struct>
Struct ParseFields(const YAML::Node& aNode, const std::string& aFile,
                   const field_parsers<Struct>& aParsers)
{
  if (!aNode.IsMap()) {
    throw yaml_failure{ MakeYamlError(aFile, aNode, "expected a mapping") };
  }
  Struct value;
  for (const auto& entry : aNode) {
    const auto parser = aParsers.find(entry.first.Scalar());
    if (parser == aParsers.end()) {
      throw yaml_failure{ MakeYamlError(
        aFile, entry.first,
        absl::StrCat("unknown word \"", entry.first.Scalar(), "\"")) };
    }
    parser->second(value, entry.second, aFile);
  }
  return value;
}

} // namespace foxtailquay::scenario

#endif
