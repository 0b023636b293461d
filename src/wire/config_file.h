// Configuration documents and patches as YAML files (JSON is a part of YAML).
//
//   result<yaml_document> file = ParseYaml(text, "fleet.yaml");
//   result<config_document> config = DecodeConfig(GetValue(file));
//
// A file has the fields of the JSON form (document_codec.h), except that
// durations are written as text without the suffix "_ms" of the field name:
// `share_horizon: 20s`, `timeout: 1500ms`, `request_timeout: 2m`. Errors name
// file, line and path of the field, its value and what would be right.
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

// The document is one value of the store, which holds at most 1 MB; a file
// may be larger by its comments and indentation.
constexpr std::size_t kMaxConfigFileBytes = 8u << 20u;
// Bounds the work for a file whose aliases multiply its size.
constexpr std::size_t kMaxConfigFileNodes = 1'000'000;

// A YAML text as JSON, with the line of each field.
struct yaml_document
{
  std::string mFile;
  Json::Value mJson;
  // From the path of a field, for example "workspaces.looms.budgets[0].id".
  std::map<std::string, int> mLines;
};

// Errors: InvalidConfig with mField "file:line: path".
result<yaml_document> ParseYaml(std::string_view aText,
                                const std::string& aFile);

// Adds file and line to an error about a field of aDocument. A field that
// does not stand in the file gets the line of the entry around it.
error AddPosition(const yaml_document& aDocument, error aError);

// Decodes and checks a whole configuration. "version" may be left out and is
// 0 then. Errors: InvalidConfig, located.
result<config_document> DecodeConfig(const yaml_document& aDocument);

// Decodes a patch: the sections of a document, where null removes an entry.
// "if_version" and "patch_id" may be left out and are 0 and empty then.
// Errors: InvalidConfig, located.
result<config_patch> DecodePatch(const yaml_document& aDocument);

// The file form, which DecodeConfig reads back, without the patch ids.
std::string ToYaml(const config_document& aConfig);

} // namespace foxtailquay

#endif
