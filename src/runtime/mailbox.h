// Passes decisions of the control thread to the traffic threads that wait for
// them. Thread-safe.
//
// On the traffic thread, with the mailbox on its stack:
//
//   mailbox<decision> decisions;
//   handle_entry<mailbox<decision>> entry(table, handle, decisions);
//   Post(queue, event, event_class::NewWork);
//   auto next = Take(decisions, deadline);
//
// On the control thread:
//
//   WithHandle(table, handle,
//              [&](auto& aMailbox) { Put(aMailbox, decision); });

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

// Appends an item without waiting.
template<typename T>
void Put(mailbox<T>& aMailbox, T aItem)
{
  absl::MutexLock lock(&aMailbox.mMutex);
  aMailbox.mItems.push_back(std::move(aItem));
  aMailbox.mChanged.Signal();
}

// Removes and returns the next item. Waits for it until aDeadline at most;
// returns nothing if the deadline passes.
template<typename T>
std::optional<T> Take(mailbox<T>& aMailbox, absl::Time aDeadline)
{
  absl::MutexLock lock(&aMailbox.mMutex);
  while (aMailbox.mItems.empty()) {
    const absl::Duration remaining = aDeadline - MonotonicNow();
    if (remaining <= absl::ZeroDuration()) {
      return std::nullopt;
    }
    aMailbox.mChanged.WaitWithTimeout(&aMailbox.mMutex, remaining);
  }
  std::optional<T> item(std::move(aMailbox.mItems.front()));
  aMailbox.mItems.pop_front();
  return item;
}

// Objects of the open requests, by handle. An object must stay valid while it
// is in the table.
template<typename T>
struct handle_table
{
  absl::Mutex mMutex;
  std::map<request_handle, T*> mOpen;
};

// Calls aUse(T&) on the object of aHandle and returns true; returns false if
// the table has none. The table stays locked during the call, so that the
// object cannot be removed.
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

// Returns the number of objects in the table.
template<typename T>
std::size_t GetSize(handle_table<T>& aTable)
{
  absl::MutexLock lock(&aTable.mMutex);
  return aTable.mOpen.size();
}

// Adds an object to a table and removes it at the end of the scope.
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
