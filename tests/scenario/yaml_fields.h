// Strict reading of YAML mappings: each field has a reader in a table, and an
// unknown field or a wrong value is an error with file and line.

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

inline error YamlError(const std::string& aFile, const YAML::Node& aNode,
                       std::string aDetail)
{
  return error{ error_code::InvalidConfig, executed::No,
                absl::StrCat(aFile, ":", aNode.Mark().line + 1),
                std::move(aDetail), absl::ZeroDuration() };
}

// Thrown inside this folder only and turned into a result at its border;
// yaml-cpp reports its own errors by exceptions, too.
struct yaml_failure
{
  error mError;
};

template<typename Value>
Value As(const YAML::Node& aNode, const std::string& aFile)
{
  try {
    return aNode.as<Value>();
  } catch (const YAML::Exception&) {
    throw yaml_failure{ YamlError(aFile, aNode, "wrong type of value") };
  }
}

// A duration such as 250ms, 5s or 10m.
inline absl::Duration AsDuration(const YAML::Node& aNode,
                                 const std::string& aFile)
{
  absl::Duration duration;
  if (!aNode.IsScalar() || !absl::ParseDuration(aNode.Scalar(), &duration)) {
    throw yaml_failure{ YamlError(aFile, aNode, "expected a duration") };
  }
  return duration;
}

// The enumerator of that name.
template<typename Enum>
Enum AsEnum(const YAML::Node& aNode, const std::string& aFile)
{
  const auto value = FromName<Enum>(aNode.IsScalar() ? aNode.Scalar() : "");
  if (!value) {
    throw yaml_failure{ YamlError(
      aFile, aNode,
      absl::StrCat("unknown word \"", aNode.IsScalar() ? aNode.Scalar() : "",
                   "\"")) };
  }
  return *value;
}

// A list of names; a single name is a list of one.
inline std::vector<std::string> AsNames(const YAML::Node& aNode,
                                        const std::string& aFile)
{
  if (aNode.IsScalar()) {
    return { aNode.Scalar() };
  }
  return As<std::vector<std::string>>(aNode, aFile);
}

template<typename Struct>
using field_readers =
  std::map<std::string,
           std::function<void(Struct&, const YAML::Node&, const std::string&)>>;

// Reads every field of aNode with its reader.
template<typename Struct>
Struct ReadFields(const YAML::Node& aNode, const std::string& aFile,
                  const field_readers<Struct>& aReaders)
{
  if (!aNode.IsMap()) {
    throw yaml_failure{ YamlError(aFile, aNode, "expected a mapping") };
  }
  Struct value;
  for (const auto& entry : aNode) {
    const auto reader = aReaders.find(entry.first.Scalar());
    if (reader == aReaders.end()) {
      throw yaml_failure{ YamlError(
        aFile, entry.first,
        absl::StrCat("unknown word \"", entry.first.Scalar(), "\"")) };
    }
    reader->second(value, entry.second, aFile);
  }
  return value;
}

} // namespace foxtailquay::scenario

#endif
