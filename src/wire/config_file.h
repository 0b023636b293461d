// Converts configuration documents and patches from and to YAML files. JSON is
// a subset of YAML and is accepted too.
//
//   result<yaml_document> file = ParseYaml(text, "fleet.yaml");
//   result<config_document> config = DecodeConfig(GetValue(file));
//
// A file has the fields of the JSON form (document_codec.h), except that
// durations are written as text without the suffix "_ms" of the field name:
// `share_horizon: 20s`, `timeout: 1500ms`, `request_timeout: 2m`. Errors have
// the file, the line, the path of the field, its value and what was expected.
//
// Pure functions; safe on any thread with distinct objects. Time and memory
// are linear in the size of the text, which is at most kMaxConfigFileBytes
// with at most kMaxConfigFileNodes values.

#ifndef FOXTAILQUAY_WIRE_CONFIG_FILE_H
#define FOXTAILQUAY_WIRE_CONFIG_FILE_H

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "foxtailquay/config.h"
#include "foxtailquay/result.h"
#include "json/json.h"

namespace foxtailquay {

// Largest file. The document is one value of the store, which is at most 1 MB;
// comments and indentation may make a file larger.
constexpr std::size_t kMaxConfigFileBytes = 8u << 20u;
// Bounds the work for a file whose YAML aliases multiply its size.
constexpr std::size_t kMaxConfigFileNodes = 1'000'000;

// A parsed YAML file.
struct yaml_document
{
  // The file's name, for errors.
  std::string mFile;
  // The content, with durations in the form of document_codec.h.
  Json::Value mJson;
  // Line by path of a field, for example "workspaces.looms.budgets[0].id".
  std::map<std::string, int> mLines;
};

// Parses aText; aFile is its name in errors. Errors: InvalidConfig with mField
// "file:line: path".
result<yaml_document> ParseYaml(std::string_view aText,
                                const std::string& aFile);

// Returns aError with file and line added to mField, a path in aDocument. A
// field that is not in the file gets the line of the nearest enclosing entry.
error AddPosition(const yaml_document& aDocument, error aError);

// Decodes and checks a complete configuration. "version" is optional; its
// default is 0. Errors: InvalidConfig with file and line.
result<config_document> DecodeConfig(const yaml_document& aDocument);

// Decodes a patch: the sections of a document, where null removes an entry.
// "if_version" and "patch_id" are optional; their defaults are 0 and "".
// Errors: InvalidConfig with file and line.
result<config_patch> DecodePatch(const yaml_document& aDocument);

// Returns the text of a file that DecodeConfig accepts; it has no patch ids.
std::string ToYaml(const config_document& aConfig);

} // namespace foxtailquay

#endif
