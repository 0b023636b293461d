// JSON of state dumps and accounts, for /debug/state and /admin.

#ifndef FOXTAILQUAY_WIRE_STATE_JSON_H
#define FOXTAILQUAY_WIRE_STATE_JSON_H

#include "foxtailquay/agent.h"
#include "foxtailquay/router.h"
#include "json/json.h"

namespace foxtailquay {

Json::Value DumpToJson(const router_dump& aDump);
Json::Value DumpToJson(const agent_dump& aDump);

// {"id", "paid_in", "spent", "unallocated", "shares": [...]}
Json::Value AccountSummary(const budget_id& aBudget, const account& aAccount);

// {"workspaces": [{"id", "budgets", "priority"}]}
Json::Value WorkspaceList(const config_document& aConfig);

} // namespace foxtailquay

#endif
