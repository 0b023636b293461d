// Hands decisions of the control thread to the traffic thread that waits for
// them.
//
//   mailbox<decision> box;                      on the traffic thread's stack
//   handle_entry<mailbox<decision>> entry(table, handle, box);
//   ... Post(queue, event) ...
//   auto next = Take(box, deadline);             waits
//
//   WithHandle(table, handle, [&](auto& box) { Put(box, decision); });

#ifndef FOXTAILQUAY_RUNTIME_MAILBOX_H
#define FOXTAILQUAY_RUNTIME_MAILBOX_H

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "absl/synchronization/mutex.h"
#include "foxtailquay/types.h"
#include "runtime/clock.h"

namespace foxtailquay {

template<typename T>
struct mailbox
{
  absl::Mutex mMutex;
  absl::CondVar mChanged;
  std::deque<T> mItems;
};

template<typename T>
void Put(mailbox<T>& aBox, T aItem)
{
  absl::MutexLock lock(&aBox.mMutex);
  aBox.mItems.push_back(std::move(aItem));
  aBox.mChanged.Signal();
}

// Waits for the next item, at most until aDeadline.
template<typename T>
std::optional<T> Take(mailbox<T>& aBox, absl::Time aDeadline)
{
  absl::MutexLock lock(&aBox.mMutex);
  while (aBox.mItems.empty()) {
    const absl::Duration left = aDeadline - MonotonicNow();
    if (left <= absl::ZeroDuration()) {
      return std::nullopt;
    }
    aBox.mChanged.WaitWithTimeout(&aBox.mMutex, left);
  }
  std::optional<T> item(std::move(aBox.mItems.front()));
  aBox.mItems.pop_front();
  return item;
}

// The open boxes by handle. T must stay valid while it is entered.
template<typename T>
struct handle_table
{
  absl::Mutex mMutex;
  std::map<request_handle, T*> mOpen;
};

// Calls aUse(T&) if the handle is open. Returns whether it is.
template<typename T, typename Use>
bool WithHandle(handle_table<T>& aTable, request_handle aHandle, Use aUse)
{
  absl::MutexLock lock(&aTable.mMutex);
  const auto found = aTable.mOpen.find(aHandle);
  if (found == aTable.mOpen.end()) {
    return false;
  }
  aUse(*found->second);
  return true;
}

template<typename T>
std::size_t GetSize(handle_table<T>& aTable)
{
  absl::MutexLock lock(&aTable.mMutex);
  return aTable.mOpen.size();
}

// Keeps an object in a table for the time of a scope.
template<typename T>
class handle_entry
{
public:
  handle_entry(handle_table<T>& aTable, request_handle aHandle, T& aObject)
    : mTable(aTable)
    , mHandle(aHandle)
  {
    absl::MutexLock lock(&mTable.mMutex);
    mTable.mOpen[mHandle] = &aObject;
  }
  handle_entry(const handle_entry&) = delete;
  handle_entry& operator=(const handle_entry&) = delete;
  ~handle_entry()
  {
    absl::MutexLock lock(&mTable.mMutex);
    mTable.mOpen.erase(mHandle);
  }

private:
  handle_table<T>& mTable;
  const request_handle mHandle;
};

} // namespace foxtailquay

#endif
