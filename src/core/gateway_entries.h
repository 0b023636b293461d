// Entries of backend servers that contradict what the gateway knows. What was
// known stays in force until such an entry is confirmed (stored_entry.h). At
// most one entry is kept for each id that the store lists. Not thread-safe:
// only the control thread uses it.

#ifndef FOXTAILQUAY_CORE_GATEWAY_ENTRIES_H
#define FOXTAILQUAY_CORE_GATEWAY_ENTRIES_H

#include "gateway_state.h"

namespace foxtailquay {

// Applies an entry that the store lists, or withholds it if it contradicts what
// is known. aIsChange: the entry was written just now, and not only found in
// the store.
void OnEntryListed(gateway& aGateway, const backend_id& aBackend,
                   const backend_entry& aEntry, store_version aRevision,
                   bool aIsChange, absl::Time aNow);
// Forgets the withheld entry of the server, which the store has removed.
void OnEntryRemoved(gateway& aGateway, const backend_id& aBackend,
                    absl::Time aNow);
// Records that the server has stated in a response to a request sent at aSentAt
// that it leaves. Its entry may be a later statement if it was read since then.
// Precondition: the server is listed.
void OnLeavingStated(gateway& aGateway, const backend_id& aBackend,
                     absl::Time aSentAt, absl::Time aNow);
// Withholds the entry of the server, which contradicts what has been learned
// since: the withheld one if there is one, otherwise that of aListing, which
// was in force, unless the store has removed it.
void WithholdEntry(gateway& aGateway, const backend_id& aBackend,
                   const backend_listing& aListing, entry_conflict aConflict,
                   absl::Time aNow);
// Checks the withheld entries that have stood for the confirmation time.
void AdvanceWithheldEntries(gateway& aGateway, absl::Time aNow);
// Applies the entries whose check a call that began at aCalledAt has answered.
// Precondition: its response has been applied.
void ConfirmEntries(gateway& aGateway, absl::Time aCalledAt, absl::Time aNow);
// Returns true if an entry waits for the answer to its check.
bool IsCheckingEntries(const gateway& aGateway);

} // namespace foxtailquay

#endif
