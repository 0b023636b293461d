#include "fair_queue.h"

#include <algorithm>
#include <utility>

namespace foxtailquay {

namespace {

// Precondition: both flows have items.
bool StartsBefore(const fair_flow& aLeft, const fair_flow& aRight)
{
  return std::make_pair(aLeft.mStart, aLeft.mItems.front().mHandle) <
         std::make_pair(aRight.mStart, aRight.mItems.front().mHandle);
}

// Returns the flow with items and the earliest start time. Of equal ones it
// returns the one whose first item has the lower handle, the older request.
template<typename Flows>
auto FindFirstFlow(Flows& aFlows)
{
  auto first = aFlows.end();
  for (auto it = aFlows.begin(); it != aFlows.end(); ++it) {
    if (!it->second.mItems.empty() &&
        (first == aFlows.end() || StartsBefore(it->second, first->second))) {
      first = it;
    }
  }
  return first;
}

void RemoveIdleFlows(fair_queue& aQueue)
{
  for (auto it = aQueue.mFlows.begin(); it != aQueue.mFlows.end();) {
    const bool idle =
      it->second.mItems.empty() && it->second.mStart <= aQueue.mVirtualTime;
    it = idle ? aQueue.mFlows.erase(it) : std::next(it);
  }
}

} // namespace

void PushItem(fair_queue& aQueue, const workspace_id& aWorkspace,
              const fair_item& aItem)
{
  fair_flow& flow = aQueue.mFlows[aWorkspace];
  if (flow.mItems.empty()) {
    flow.mStart = std::max(flow.mStart, aQueue.mVirtualTime);
  }
  flow.mItems.push_back(aItem);
  ++aQueue.mSize;
}

const fair_item* FindFirstItem(const fair_queue& aQueue)
{
  const auto first = FindFirstFlow(aQueue.mFlows);
  return first == aQueue.mFlows.end() ? nullptr : &first->second.mItems.front();
}

void PopFirstItem(fair_queue& aQueue)
{
  fair_flow& flow = FindFirstFlow(aQueue.mFlows)->second;
  const fair_item item = flow.mItems.front();
  flow.mItems.pop_front();
  aQueue.mVirtualTime = flow.mStart;
  flow.mStart += item.mCost / item.mWeight;
  --aQueue.mSize;
  RemoveIdleFlows(aQueue);
}

void RemoveItem(fair_queue& aQueue, const workspace_id& aWorkspace,
                request_handle aHandle)
{
  const auto flow = aQueue.mFlows.find(aWorkspace);
  if (flow == aQueue.mFlows.end()) {
    return;
  }
  std::deque<fair_item>& items = flow->second.mItems;
  const auto found =
    std::find_if(items.begin(), items.end(), [&](const fair_item& aItem) {
      return aItem.mHandle == aHandle;
    });
  if (found != items.end()) {
    items.erase(found);
    --aQueue.mSize;
    RemoveIdleFlows(aQueue);
  }
}

std::size_t CountAhead(const fair_queue& aQueue, const workspace_id& aWorkspace)
{
  double start = aQueue.mVirtualTime;
  const auto found = aQueue.mFlows.find(aWorkspace);
  if (found != aQueue.mFlows.end()) {
    start = std::max(start, found->second.mStart);
    for (const fair_item& item : found->second.mItems) {
      start += item.mCost / item.mWeight;
    }
  }
  std::size_t ahead = 0;
  for (const auto& [workspace, flow] : aQueue.mFlows) {
    double at = flow.mStart;
    for (const fair_item& item : flow.mItems) {
      if (at >= start) {
        break;
      }
      at += item.mCost / item.mWeight;
      ++ahead;
    }
  }
  return ahead;
}

std::size_t CountItems(const fair_queue& aQueue, const workspace_id& aWorkspace)
{
  const auto flow = aQueue.mFlows.find(aWorkspace);
  return flow == aQueue.mFlows.end() ? 0 : flow->second.mItems.size();
}

const fair_item* FindNewestItemOfLongestFlow(const fair_queue& aQueue)
{
  const fair_flow* longest = nullptr;
  for (const auto& [workspace, flow] : aQueue.mFlows) {
    if (longest == nullptr || flow.mItems.size() > longest->mItems.size()) {
      longest = &flow;
    }
  }
  return longest == nullptr || longest->mItems.empty()
           ? nullptr
           : &longest->mItems.back();
}

} // namespace foxtailquay
