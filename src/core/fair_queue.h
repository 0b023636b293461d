// Start-time fair queue between workspaces.
//
// Each workspace with queued requests gets a part of the work in proportion
// to its weight, whatever the number and size of its requests. A workspace
// that was idle has no claim on the time before. The queue remembers who was
// served last when it runs empty, because under overload it does so often.
//
//   PushItem(queue, workspace, { handle, cost, weight });
//   while (const fair_item* next = HeadOf(queue)) { ... PopHead(queue); }
//
// Each operation takes time proportional to the number of workspaces in the
// queue; RemoveItem also to the length of one workspace's queue, and AheadOf
// to the length of the queue.

#ifndef FOXTAILQUAY_CORE_FAIR_QUEUE_H
#define FOXTAILQUAY_CORE_FAIR_QUEUE_H

#include <cstddef>
#include <deque>
#include <map>

#include "foxtailquay/types.h"

namespace foxtailquay {

struct fair_item
{
  request_handle mHandle = 0;
  // Estimate of the work, above 0.
  double mCost = 1;
  // Weight of the workspace, above 0.
  double mWeight = 1;
};

struct fair_flow
{
  std::deque<fair_item> mItems;
  // Virtual time at which the first item starts.
  double mStart = 0;
};

struct fair_queue
{
  std::map<workspace_id, fair_flow> mFlows;
  // Start of the item that was taken last. Flows without items are kept only
  // while their start is later than this.
  double mVirtualTime = 0;
  std::size_t mSize = 0;
};

// Appends to the queue of the workspace.
void PushItem(fair_queue& aQueue, const workspace_id& aWorkspace,
              const fair_item& aItem);

// The item to run next, or null if the queue is empty.
const fair_item* HeadOf(const fair_queue& aQueue);

// Removes the item that HeadOf returns. Precondition: the queue is not empty.
void PopHead(fair_queue& aQueue);

// Removes an item that is not going to run; no work is charged for it.
void RemoveItem(fair_queue& aQueue, const workspace_id& aWorkspace,
                request_handle aHandle);

// Items that will be taken before a further item of the workspace, if no other
// item arrives.
std::size_t AheadOf(const fair_queue& aQueue, const workspace_id& aWorkspace);

// Number of queued items of the workspace.
std::size_t LengthOf(const fair_queue& aQueue, const workspace_id& aWorkspace);

// The newest item of the workspace with the most items, or null.
const fair_item* NewestOfLongest(const fair_queue& aQueue);

} // namespace foxtailquay

#endif
