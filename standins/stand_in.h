// Common parts of the stand-ins: an HTTP server on a loopback port, JSON
// responses and faults that are set at run time.
//
// Stand-ins are fake servers that take the place of the systems around
// foxtailquay in tests and in the demo. They share no code with the product, so
// that an error in a codec is not hidden by the same error on the other side.
// The protocols are in docs/platform.md.

#ifndef STANDINS_STAND_IN_H
#define STANDINS_STAND_IN_H

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "httplib.h"
#include "json/json.h"

namespace standins {

using steady = std::chrono::steady_clock;

// A thread pool that adds a thread if none is idle. Each long poll and each
// open stream occupies a thread, so that a small pool of fixed size would block
// other requests. Safe on any thread.
struct growing_thread_pool : httplib::TaskQueue
{
  void enqueue(std::function<void()> aTask) override;
  // Waits until the queued and running tasks have ended.
  void shutdown() override;

private:
  void RunTasks();

  static constexpr std::size_t kMaxThreads = 512;
  std::mutex mMutex;
  std::condition_variable mTasksChanged;
  // The members below are guarded by mMutex.
  std::deque<std::function<void()>> mTasks;
  std::vector<std::thread> mThreads;
  std::size_t mIdleThreads = 0;
  bool mIsStopping = false;
};

// Binds aPort on 127.0.0.1 (0: any free port), prints "listening PORT" and
// serves requests until the process is killed. Returns an exit code if the port
// cannot be bound or the server fails.
int RunServer(httplib::Server& aServer, int aPort);

// Returns JSON text on one line.
std::string ToText(const Json::Value& aJson);
void SendResponse(httplib::Response& aResponse, int aStatus,
                  const Json::Value& aJson);
void SendError(httplib::Response& aResponse, int aStatus,
               const std::string& aMessage);
// Parses the body of aRequest into aInto and returns true. If it is not a JSON
// object, sends a response with status 400 and returns false.
bool ParseObjectBody(const httplib::Request& aRequest,
                     httplib::Response& aResponse, Json::Value& aInto);

// Closes the connection before the response is complete.
void InterruptResponse(httplib::Response& aResponse);

// Blocks the calling thread for aMilliseconds.
void WaitMilliseconds(int aMilliseconds);

// --- Faults -----------------------------------------------------------------

// A fault with its JSON name, bound to a member of a struct of faults.
struct fault_field
{
  std::string_view mName;
  // Returns false if the value has the wrong type or is out of range.
  std::function<bool(const Json::Value&)> mSet;
  std::function<Json::Value()> mGet;
};

// Makes a fault that is on or off.
fault_field MakeBoolFault(std::string_view aName, bool& aFault);
// Makes a fault whose value is a count or a number of milliseconds, at least 0.
fault_field MakeIntegerFault(std::string_view aName, int& aFault);

// Makes a fault whose value is an enumerator. aNames is an array of
// {enumerator, name} pairs.
template<typename Enum, typename Names>
fault_field MakeEnumFault(std::string_view aName, Enum& aFault,
                          const Names& aNames)
{
  return { aName,
           [&aFault, &aNames](const Json::Value& aJson) {
             for (const auto& [value, name] : aNames) {
               if (aJson.isString() && aJson.asString() == name) {
                 aFault = value;
                 return true;
               }
             }
             return false;
           },
           [&aFault, &aNames] {
             for (const auto& [value, name] : aNames) {
               if (value == aFault) {
                 return Json::Value(std::string(name));
               }
             }
             return Json::Value();
           } };
}

// Sets the fields from the members of aJson. Returns the name of the first
// field whose value is invalid, "names" if a member is unknown, or "".
std::string SetFaults(const std::vector<fault_field>& aFields,
                      const Json::Value& aJson);
Json::Value ToJson(const std::vector<fault_field>& aFields);

// Handles POST /fault: changes all faults in the body, or none if one is
// invalid. Returns whether they were changed. Requires a function
// std::vector<fault_field> ListFields(Faults&).
// Precondition: the caller holds the lock that guards aFaults.
template<typename Faults>
bool HandleFault(const httplib::Request& aRequest, httplib::Response& aResponse,
                 Faults& aFaults)
{
  Json::Value json;
  if (!ParseObjectBody(aRequest, aResponse, json)) {
    return false;
  }
  Faults changed = aFaults;
  const std::string bad = SetFaults(ListFields(changed), json);
  if (!bad.empty()) {
    SendError(aResponse, 400, "invalid fault " + bad);
    return false;
  }
  aFaults = changed;
  SendResponse(aResponse, 200, ToJson(ListFields(aFaults)));
  return true;
}

} // namespace standins

#endif
