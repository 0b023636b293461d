// Parts that the cases of this review share: a gateway as a process, raw HTTP
// servers and clients on loopback addresses, and the record of a run.
//
// The store is the project's own stand-in (standins/users_platform.h). Workers
// and requesters are written here on plain sockets, so that a case decides
// which bytes are sent and when.

#ifndef REVIEW_COMMON_2_RIG_HPP
#define REVIEW_COMMON_2_RIG_HPP

#include <sys/types.h>

#include <atomic>
#include <cstdarg>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "json/json.h"
#include "users_platform.h"

namespace rig {

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// Milliseconds since the start of the program.
long NowMs();
void SleepMs(long aTime);

// Appends a line with the time to record.txt in the folder of the case, and
// prints it. Any thread.
void OpenRecord(const std::string& aFolder);
void Record(const char* aFormat, ...) __attribute__((format(printf, 1, 2)));

// The same, only in record.txt: what was sent, answered and run.
void Note(const char* aFormat, ...) __attribute__((format(printf, 1, 2)));

// Returns false if TROUBLE=0 is set.
bool HasTrouble();

// An HTTP message as read from a socket.
struct message
{
  std::string mStart;
  std::vector<std::pair<std::string, std::string>> mFields;
  std::string mBody;
  // True if the message arrived whole, by its framing.
  bool mIsComplete = false;
  // True if the peer closed the channel before the message was complete.
  bool mIsClosed = false;

  // Value of a header; empty if there is none.
  std::string Get(const std::string& aName) const;
  int Status() const;
};

// Reads one message. aBuffer holds bytes that were read and not used.
message ReadMessage(int aSocket, std::string& aBuffer, bool aIsResponse,
                    long aTimeoutMs);
// Sends all bytes; returns false if the channel failed.
bool SendAll(int aSocket, const std::string& aBytes);

// A connection of a worker's caller.
struct worker_call
{
  int mSocket = -1;
  message mRequest;
  // Set by the handler to close the channel after the call.
  bool mClose = false;
  // Set by the handler to reset the channel after the call.
  bool mReset = false;
};

// A worker on 127.0.0.1. Each call is handled on the thread of its connection.
struct worker
{
  using handler = std::function<void(worker_call&)>;
  worker(std::string aId, handler aHandler);
  ~worker();
  std::string mId;
  int mPort = 0;
  int mListener = -1;
  handler mHandler;
  std::atomic<bool> mIsStopping{ false };
  std::thread mThread;
  std::mutex mMutex;
  std::vector<std::thread> mCalls;
  std::vector<int> mSockets;
};

// Returns the head of a worker's answer with its seal and the attempt id.
std::string MakeHead(const worker& aWorker, const message& aRequest,
                     int aStatus, const std::string& aFurther);

// Returns an entry of a worker for the store, with all fields of the page.
Json::Value MakeEntry(const worker& aWorker, const std::string& aService,
                      const std::string& aState, int aSequence, int aSlots);

// A gateway process, started with the command of deploy/system.toml.
struct gateway
{
  std::string mName;
  std::string mIp;
  int mFrontPort = 0;
  int mReadyPort = 0;
  int mPeerPort = 0;
  std::string mFile;
  std::string mLog;
  pid_t mPid = -1;
};

// Chooses addresses and writes the settings file.
gateway MakeGateway(const std::string& aFolder, int aIndex, int aStorePort);
// Starts the process. Returns false if that fails.
bool StartProcess(gateway& aGateway);
// Sends a signal and, if aWait, waits for the end.
void EndProcess(gateway& aGateway, int aSignal, long aWaitMs);
// Asks GET /-/ready once.
bool IsReady(const gateway& aGateway);
bool AwaitReady(const gateway& aGateway, long aTimeoutMs);

// A requester's channel.
struct channel
{
  ~channel();
  int mSocket = -1;
  std::string mBuffer;
};
bool Open(channel& aChannel, const std::string& aIp, int aPort);

// Temporary folder of the run; removed at the end.
struct folder
{
  folder();
  ~folder();
  std::string mPath;
};

} // namespace rig

#endif
