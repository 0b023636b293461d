// Configuration of a scenario, read from its YAML form.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_SIM_CONFIG_H
#define FOXTAILQUAY_TESTS_SCENARIO_SIM_CONFIG_H

#include <string>

#include "foxtailquay/config.h"
#include "foxtailquay/result.h"
#include "yaml-cpp/yaml.h"

namespace foxtailquay::scenario {

// Reads the sections `fleet`, `models`, `services`, `backends` and
// `workspaces`. Entries and fields that are left out keep their default; null
// removes an entry. Errors: InvalidConfig with mField "file:line".
result<config_patch> ReadPatch(const YAML::Node& aNode,
                               const std::string& aFile);

} // namespace foxtailquay::scenario

#endif
