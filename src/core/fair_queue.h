// Start-time fair queueing among workspaces.
//
// Each workspace with queued requests gets a fraction of the work in proportion
// to its weight, regardless of the number and size of its requests. Idle time
// earns a workspace no additional work later. The virtual times are not reset
// when the queue becomes empty, because under overload it does so often.
//
//   PushItem(queue, workspace, { handle, cost, weight });
//   while (const fair_item* next = FindFirstItem(queue)) { ...
//   PopFirstItem(queue); }
//
// Each operation takes time proportional to the number of workspaces in the
// queue; RemoveItem also to the length of one workspace's queue, and CountAhead
// to the length of the queue. Not thread-safe.

#ifndef FOXTAILQUAY_CORE_FAIR_QUEUE_H
#define FOXTAILQUAY_CORE_FAIR_QUEUE_H

#include <cstddef>
#include <deque>
#include <map>

#include "foxtailquay/types.h"

namespace foxtailquay {

// One queued request.
struct fair_item
{
  request_handle mHandle = 0;
  // Estimated work in tokens, above 0.
  double mCost = 1;
  // Weight of the workspace, above 0.
  double mWeight = 1;
};

// The queued requests of one workspace, oldest first.
struct fair_flow
{
  std::deque<fair_item> mItems;
  // Virtual start time of the first item.
  double mStart = 0;
};

struct fair_queue
{
  std::map<workspace_id, fair_flow> mFlows;
  // Virtual start time of the item that was removed last by PopFirstItem. Flows
  // without items are stored only while their start time is later than this.
  double mVirtualTime = 0;
  // Number of queued items.
  std::size_t mSize = 0;
};

// Appends an item to the queue of the workspace.
void PushItem(fair_queue& aQueue, const workspace_id& aWorkspace,
              const fair_item& aItem);

// Returns the item to run next, or null if the queue is empty.
const fair_item* FindFirstItem(const fair_queue& aQueue);

// Removes the item that FindFirstItem returns. Precondition: the queue is not
// empty.
void PopFirstItem(fair_queue& aQueue);

// Removes an item that will not run, without charging its cost to the
// workspace. Does nothing if the item is not queued.
void RemoveItem(fair_queue& aQueue, const workspace_id& aWorkspace,
                request_handle aHandle);

// Returns the number of items that would be removed by PopFirstItem before a
// further item of the workspace, if no other item arrived.
std::size_t CountAhead(const fair_queue& aQueue,
                       const workspace_id& aWorkspace);

// Returns the number of queued items of the workspace.
std::size_t CountItems(const fair_queue& aQueue,
                       const workspace_id& aWorkspace);

// Returns the newest item of the workspace with the most items, or null if the
// queue is empty.
const fair_item* FindNewestItemOfLongestFlow(const fair_queue& aQueue);

} // namespace foxtailquay

#endif
