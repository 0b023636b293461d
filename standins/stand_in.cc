#include "stand_in.h"

#include <iostream>
#include <memory>

namespace standins {

void growing_thread_pool::enqueue(std::function<void()> aTask)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mTasks.push_back(std::move(aTask));
  if (mTasks.size() > mIdleThreads && mThreads.size() < kMaxThreads) {
    mThreads.emplace_back([this] { RunTasks(); });
  }
  mTasksChanged.notify_one();
}

void growing_thread_pool::shutdown()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsStopping = true;
  }
  mTasksChanged.notify_all();
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void growing_thread_pool::RunTasks()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (true) {
    ++mIdleThreads;
    mTasksChanged.wait(lock, [this] { return mIsStopping || !mTasks.empty(); });
    --mIdleThreads;
    if (mTasks.empty()) {
      return;
    }
    const std::function<void()> task = std::move(mTasks.front());
    mTasks.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

int RunServer(httplib::Server& aServer, int aPort)
{
  aServer.new_task_queue = [] { return new growing_thread_pool; };
  aServer.set_tcp_nodelay(true);
  // With the default of 5 requests per connection, clients reconnect often.
  aServer.set_keep_alive_max_count(1'000'000);
  const bool bound = aPort != 0
                       ? aServer.bind_to_port("127.0.0.1", aPort)
                       : (aPort = aServer.bind_to_any_port("127.0.0.1")) > 0;
  if (!bound) {
    std::cerr << "cannot listen on 127.0.0.1:" << aPort << "\n";
    return 1;
  }
  std::cout << "listening " << aPort << std::endl;
  return aServer.listen_after_bind() ? 0 : 1;
}

std::string ToText(const Json::Value& aJson)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, aJson);
}

void SendResponse(httplib::Response& aResponse, int aStatus,
                  const Json::Value& aJson)
{
  aResponse.status = aStatus;
  aResponse.set_content(ToText(aJson), "application/json");
}

void SendError(httplib::Response& aResponse, int aStatus,
               const std::string& aMessage)
{
  Json::Value json;
  json["error"]["message"] = aMessage;
  SendResponse(aResponse, aStatus, json);
}

bool ParseObjectBody(const httplib::Request& aRequest,
                     httplib::Response& aResponse, Json::Value& aInto)
{
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  const std::string& body = aRequest.body;
  std::string errors;
  try {
    if (reader->parse(body.data(), body.data() + body.size(), &aInto,
                      &errors) &&
        aInto.isObject()) {
      return true;
    }
  } catch (const Json::Exception& thrown) {
    errors = thrown.what();
  }
  SendError(aResponse, 400, "the body is not a JSON object: " + errors);
  return false;
}

void InterruptResponse(httplib::Response& aResponse)
{
  // The header section announces a body that is not sent; cpp-httplib closes
  // the connection.
  aResponse.set_content_provider(
    1, "application/json",
    [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

void WaitMilliseconds(int aMilliseconds)
{
  std::mutex mutex;
  std::condition_variable never;
  std::unique_lock<std::mutex> lock(mutex);
  never.wait_until(lock,
                   steady::now() + std::chrono::milliseconds(aMilliseconds),
                   [] { return false; });
}

fault_field MakeBoolFault(std::string_view aName, bool& aFault)
{
  return { aName,
           [&aFault](const Json::Value& aJson) {
             if (aJson.isBool()) {
               aFault = aJson.asBool();
             }
             return aJson.isBool();
           },
           [&aFault] { return Json::Value(aFault); } };
}

fault_field MakeIntegerFault(std::string_view aName, int& aFault)
{
  return { aName,
           [&aFault](const Json::Value& aJson) {
             const bool valid = aJson.isInt() && aJson.asInt() >= 0;
             if (valid) {
               aFault = aJson.asInt();
             }
             return valid;
           },
           [&aFault] { return Json::Value(aFault); } };
}

std::string SetFaults(const std::vector<fault_field>& aFields,
                      const Json::Value& aJson)
{
  std::size_t known = 0;
  for (const fault_field& field : aFields) {
    std::string name(field.mName);
    if (aJson.isMember(name)) {
      ++known;
      if (!field.mSet(aJson[name])) {
        return name;
      }
    }
  }
  return known == aJson.size() ? "" : "names";
}

Json::Value ToJson(const std::vector<fault_field>& aFields)
{
  Json::Value json(Json::objectValue);
  for (const fault_field& field : aFields) {
    json[std::string(field.mName)] = field.mGet();
  }
  return json;
}

} // namespace standins
