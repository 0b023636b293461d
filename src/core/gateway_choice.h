// Decisions of a gateway on one request, computed without a change of its
// state. gateway_request.cc applies them to the request; a query
// (gateway_explain.h) only shows them. Not thread-safe: only the control thread
// uses them.

#ifndef FOXTAILQUAY_CORE_GATEWAY_CHOICE_H
#define FOXTAILQUAY_CORE_GATEWAY_CHOICE_H

#include <optional>

#include "gateway_state.h"

namespace foxtailquay {

// The records of a service that a choice updates, and its source of random
// numbers. A query passes copies.
struct choice_records
{
  cost_profile& mCosts;
  service_pace& mPace;
  random_engine& mRandom;
};

// Where a request goes.
struct dispatch_choice
{
  routing_query mQuery;
  // The chosen server; absent if none can take the request.
  std::optional<backend_id> mBackend;
  // True if the request has to wait for room, whether a server is chosen or
  // not.
  bool mMustWait = false;
  demand_rank mDemandRank = demand_rank::Usual;
};

// Finds the route and the workspace that pays, and sets the fields of the
// request that depend on them. Errors: ShuttingDown, NotReady, NotFound,
// Unauthorized, BudgetExhausted, PromptQuarantined, RequestQuarantined,
// InvalidRequest.
result<success> AdmitRequest(const gateway& aGateway,
                             forwarded_request& aRequest, absl::Time aNow);

// Chooses the server for the next attempt of an admitted request. aRouting: the
// options of the gateway with the present number of gateways.
dispatch_choice ChooseDispatch(const gateway& aGateway,
                               const forwarded_request& aRequest,
                               const routing_options& aRouting,
                               const choice_records& aRecords, absl::Time aNow);

} // namespace foxtailquay

#endif
