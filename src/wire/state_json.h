// Encodes state dumps and accounts as JSON, for /debug/state and /admin.
//
// Pure functions; safe on any thread with distinct objects.

#ifndef FOXTAILQUAY_WIRE_STATE_JSON_H
#define FOXTAILQUAY_WIRE_STATE_JSON_H

#include "foxtailquay/agent.h"
#include "foxtailquay/router.h"
#include "json/json.h"

namespace foxtailquay {

Json::Value ToJson(const router_dump& aDump);
Json::Value ToJson(const agent_dump& aDump);

// Returns {"id", "paid_in", "spent", "unallocated", "shares": [...]}.
Json::Value MakeAccountSummary(const budget_id& aBudget,
                               const account& aAccount);

// Returns {"workspaces": [{"id", "budgets", "priority"}]}.
Json::Value MakeWorkspaceList(const config_document& aConfig);

} // namespace foxtailquay

#endif
