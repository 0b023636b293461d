#include "fair_queue.h"

#include <algorithm>

namespace foxtailquay {

namespace {

// The flow with items and the earliest start; the first one by name if equal.
template<typename Flows>
auto FirstFlow(Flows& aFlows)
{
  auto first = aFlows.end();
  for (auto it = aFlows.begin(); it != aFlows.end(); ++it) {
    if (!it->second.mItems.empty() &&
        (first == aFlows.end() || it->second.mStart < first->second.mStart)) {
      first = it;
    }
  }
  return first;
}

void DropIdleFlows(fair_queue& aQueue)
{
  if (aQueue.mSize == 0) {
    aQueue = {};
    return;
  }
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

const fair_item* HeadOf(const fair_queue& aQueue)
{
  const auto first = FirstFlow(aQueue.mFlows);
  return first == aQueue.mFlows.end() ? nullptr : &first->second.mItems.front();
}

void TakeHead(fair_queue& aQueue)
{
  fair_flow& flow = FirstFlow(aQueue.mFlows)->second;
  const fair_item item = flow.mItems.front();
  flow.mItems.pop_front();
  aQueue.mVirtualTime = flow.mStart;
  flow.mStart += item.mCost / item.mWeight;
  --aQueue.mSize;
  DropIdleFlows(aQueue);
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
    DropIdleFlows(aQueue);
  }
}

std::size_t AheadOf(const fair_queue& aQueue, const workspace_id& aWorkspace)
{
  const std::size_t own = LengthOf(aQueue, aWorkspace);
  std::size_t ahead = 0;
  for (const auto& [workspace, flow] : aQueue.mFlows) {
    ahead +=
      workspace == aWorkspace ? own : std::min(flow.mItems.size(), own + 1);
  }
  return ahead;
}

std::size_t LengthOf(const fair_queue& aQueue, const workspace_id& aWorkspace)
{
  const auto flow = aQueue.mFlows.find(aWorkspace);
  return flow == aQueue.mFlows.end() ? 0 : flow->second.mItems.size();
}

const fair_item* NewestOfLongest(const fair_queue& aQueue)
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
