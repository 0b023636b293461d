// The platform's key-value service as the core sees it: typed documents,
// compare-and-swap, outages, delays and lost answers.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_FAKE_STORE_H
#define FOXTAILQUAY_TESTS_SCENARIO_FAKE_STORE_H

#include "world.h"

namespace foxtailquay::scenario {

void CallStore(world& aWorld, const process_ref& aFrom,
               const store_request& aRequest);
void OnEvent(world& aWorld, const process_ref& aTarget,
             const store_arrival& aArrival);
void OnEvent(world& aWorld, const process_ref& aTarget,
             const store_effect& aEffect);
void OnEvent(world& aWorld, const process_ref& aTarget,
             const store_response_arrival& aResponse);

// Puts a configuration into the store before any process starts.
void SeedConfig(world& aWorld, config_document aConfig);
// The documents of one area, as committed.
template<typename Document>
std::vector<const Document*> Documents(const fake_store& aStore,
                                       store_area aArea)
{
  std::vector<const Document*> documents;
  for (const auto& [key, entry] : aStore.mEntries) {
    if (key.mArea == aArea && entry.mDocument) {
      documents.push_back(&std::get<Document>(*entry.mDocument));
    }
  }
  return documents;
}
// The committed account of a budget, or null.
const account* AccountOf(const fake_store& aStore, const budget_id& aBudget);

} // namespace foxtailquay::scenario

#endif
