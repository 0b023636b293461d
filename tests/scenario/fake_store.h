// A fake of the platform's key-value store for the core: typed documents,
// conditional writes by version, outages, delays and lost responses.
//
// Not thread-safe.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_FAKE_STORE_H
#define FOXTAILQUAY_TESTS_SCENARIO_FAKE_STORE_H

#include "world.h"

namespace foxtailquay::scenario {

// Sends a request to the store. The response arrives as a
// store_response_event; its status is Unknown if there is no response
// within kStoreTimeout.
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
// Returns the committed documents of one area.
template<typename Document>
std::vector<const Document*> ListDocuments(const fake_store& aStore,
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
// Returns the committed account of a budget, or null if there is none.
const account* FindAccount(const fake_store& aStore, const budget_id& aBudget);

} // namespace foxtailquay::scenario

#endif
