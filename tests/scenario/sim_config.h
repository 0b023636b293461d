// Parser of the configuration section of a scenario.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_SIM_CONFIG_H
#define FOXTAILQUAY_TESTS_SCENARIO_SIM_CONFIG_H

#include <string>

#include "foxtailquay/config.h"
#include "foxtailquay/result.h"
#include "yaml-cpp/yaml.h"

namespace foxtailquay::scenario {

// Parses the sections `fleet`, `models`, `services`, `backends` and
// `workspaces`. Entries and fields that are left out keep their default; null
// removes an entry. Each workspace gets the key hash of ComputeKeyHash. Errors:
// InvalidConfig with mField "file:line".
result<config_patch> ParseConfigPatch(const YAML::Node& aNode,
                                      const std::string& aFile);

} // namespace foxtailquay::scenario

#endif
