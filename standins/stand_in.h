// What the stand-ins have in common: a server on a loopback port, JSON
// answers and run-time faults.
//
// Stand-ins take the place of the systems around foxtailquay in tests and in
// the demo. They share no code with the product, so that an error in a codec
// cannot hide on both sides. The protocols are in docs/platform.md.

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

// A pool that adds a thread when none is idle. Long polls and open streams
// hold a thread each, so that a fixed small pool would block the others.
struct elastic_queue : httplib::TaskQueue
{
  void enqueue(std::function<void()> aTask) override;
  // Waits for the running tasks.
  void shutdown() override;

private:
  void Run();

  static constexpr std::size_t kMaxThreads = 512;
  std::mutex mMutex;
  std::condition_variable mWork;
  // Guarded by mMutex.
  std::deque<std::function<void()>> mTasks;
  std::vector<std::thread> mThreads;
  std::size_t mIdle = 0;
  bool mStop = false;
};

// Binds aPort on 127.0.0.1 (0: any), prints "listening PORT" and serves until
// the process is ended. Returns an exit code if the port cannot be bound.
int Serve(httplib::Server& aServer, int aPort);

std::string ToText(const Json::Value& aJson);
void Answer(httplib::Response& aResponse, int aStatus,
            const Json::Value& aJson);
void AnswerError(httplib::Response& aResponse, int aStatus,
                 const std::string& aMessage);
// Reads a JSON object from the body, or answers 400 and returns false.
bool ReadObject(const httplib::Request& aRequest, httplib::Response& aResponse,
                Json::Value& aInto);

// Makes the connection end without a whole answer.
void BreakAnswer(httplib::Response& aResponse);

// Blocks the calling thread for a configured delay.
void Delay(int aMilliseconds);

// --- Faults -----------------------------------------------------------------

// One fault by its JSON name, bound to a place in a struct of faults.
struct fault_field
{
  std::string_view mName;
  // Returns false if the value has the wrong type or range.
  std::function<bool(const Json::Value&)> mSet;
  std::function<Json::Value()> mGet;
};

fault_field Switch(std::string_view aName, bool& aFault);
// A count or a number of milliseconds.
fault_field Count(std::string_view aName, int& aFault);

// aNames is an array of {enumerator, name} pairs.
template<typename Enum, typename Names>
fault_field Choice(std::string_view aName, Enum& aFault, const Names& aNames)
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

// Applies aJson to the fields. Returns the name of the first one that is
// unknown or has a bad value, or "".
std::string SetFaults(const std::vector<fault_field>& aFields,
                      const Json::Value& aJson);
Json::Value ToJson(const std::vector<fault_field>& aFields);

// Handles POST /fault. Faults has a function
// std::vector<fault_field> ListFields(Faults&); all are changed or none.
// Precondition: the caller holds the lock that guards aFaults.
template<typename Faults>
bool HandleFault(const httplib::Request& aRequest, httplib::Response& aResponse,
                 Faults& aFaults)
{
  Json::Value json;
  if (!ReadObject(aRequest, aResponse, json)) {
    return false;
  }
  Faults changed = aFaults;
  const std::string bad = SetFaults(ListFields(changed), json);
  if (!bad.empty()) {
    AnswerError(aResponse, 400, "bad fault " + bad);
    return false;
  }
  aFaults = changed;
  Answer(aResponse, 200, ToJson(ListFields(aFaults)));
  return true;
}

} // namespace standins

#endif
