// Stand-ins for the cases of the review: the platform's store, workers and
// requesters, and gateways started as processes with the deploy file's command.
//
//   record log("record.txt");
//   store platform(log);
//   worker w(log, "i-1", "llm", handler);
//   platform.put("servers/i-1", w.entry("ready"));
//   gateway g(log, platform, "front-1");
//   answer a = call(log, g.front(), request_text);
//
// All addresses are loopback addresses on free ports. Each connection has a
// thread. The destructors end what was started.

#ifndef REVIEW_STANDINS_H
#define REVIEW_STANDINS_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

// Seconds since the start of the case.
double Now();
void Sleep(double aSeconds);
// True unless the environment has TROUBLE=0.
bool HasTrouble();
// Returns an address 127.x.y.host, with x and y chosen for this process.
std::string MakeIp(int aHost);

// The file record.txt. Thread-safe.
class record
{
public:
  explicit record(const std::string& aPath);
  ~record();
  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)));

private:
  std::FILE* mFile;
  std::mutex mMutex;
};

// The header section of a request or response.
struct message
{
  std::string mStart;
  std::vector<std::pair<std::string, std::string>> mFields;
  std::string mBody;
  // Returns the value of the field, or "".
  std::string Field(const std::string& aName) const;
  std::string Method() const;
  std::string Target() const;
};

// A connected socket with the bytes that were read ahead.
class connection
{
public:
  explicit connection(int aFd)
    : mFd(aFd)
  {}
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  int Fd() const { return mFd; }
  bool Send(const std::string& aBytes);
  // Appends received bytes to buffer(). Returns false at the end, after a reset
  // or after the timeout.
  bool Receive(double aTimeout);
  // Reads a message with its body. Returns false if the connection ends before.
  bool Read(message& aInto, double aTimeout);
  std::string& Buffer() { return mBuffer; }
  // Closes the connection with a reset.
  void Reset();
  // Returns true if the peer has closed its side.
  bool PeerClosed() const;
  bool WasReset() const { return mReset; }

private:
  int mFd;
  bool mReset = false;
  std::string mBuffer;
};

// Accepts connections on a free port of an address and serves each in a thread.
class listener
{
public:
  listener(const std::string& aIp, std::function<void(connection&)> aServe);
  ~listener();
  std::string Address() const;
  // Resets all connections and refuses new ones.
  void Crash();
  // Listens again on the same port.
  void Restart();

private:
  void Open();
  void CloseAll();
  std::string mIp;
  int mPort = 0;
  int mFd = -1;
  std::function<void(connection&)> mServe;
  std::mutex mMutex;
  std::map<connection*, int> mOpen;
  std::thread mThread;
  std::atomic<int> mRunning{ 0 };
};

// The platform's metadata store.
class store
{
public:
  explicit store(record& aLog);
  ~store();
  std::string Address() const { return mListener->Address(); }
  // Writes a value as the operator or a worker does; "" removes the key. Waits
  // while the store is silent.
  void Put(const std::string& aKey, const std::string& aValue);
  // While silent, the store executes and answers nothing. Calls that arrive
  // meanwhile are lost.
  void SetSilent(bool aSilent);
  // Keeps a copy of the present state.
  void TakeCopy();
  // Returns to the copy, in the next era: what was written since is lost, and
  // all leases. Revisions are given out again.
  void Restore();

private:
  struct item
  {
    std::string mValue;
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
    std::uint64_t mLease = 0;
    bool mRemoved = false;
  };
  void Serve(connection& aCaller);
  bool Handle(const message& aCall, int& aStatus, std::string& aBody,
              std::unique_lock<std::mutex>& aLock);
  void Write(const std::string& aKey, const item& aValue);

  record& mLog;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, item> mItems;
  std::vector<std::pair<std::string, item>> mHistory;
  std::uint64_t mRevision = 100;
  std::uint64_t mNextLease = 1;
  std::map<std::uint64_t, bool> mLeases;
  std::map<std::string, item> mCopy;
  std::uint64_t mCopyRevision = 0;
  // Watches from before this revision get 410.
  std::uint64_t mHistoryStart = 0;
  std::uint64_t mEra = 1;
  bool mSilent = false;
  bool mStopping = false;
  std::unique_ptr<listener> mListener;
};

// A worker. The handler answers requests that are meant for this worker.
class worker
{
public:
  using handler =
    std::function<void(worker&, connection& aCaller, const message& aRequest)>;
  worker(record& aLog, int aHost, const std::string& aId,
         const std::string& aService, handler aHandle);
  const std::string& Id() const { return mId; }
  std::string Address() const { return mListener.Address(); }
  // The worker's entry in the store.
  std::string Entry(const std::string& aState) const;
  // The status line and the fields that all answers have, without the empty
  // line.
  std::string Head(const message& aRequest, int aStatus) const;
  record& Log() { return mLog; }
  listener& Sockets() { return mListener; }
  std::atomic<bool> mLeaving{ false };
  std::atomic<std::int64_t> mBorn;

private:
  void Serve(connection& aCaller);
  record& mLog;
  std::string mId;
  std::string mService;
  handler mHandle;
  listener mListener;
};

// A gateway process.
class gateway
{
public:
  gateway(record& aLog, const store& aPlatform, const std::string& aName,
          int aHost);
  ~gateway();
  const std::string& Front() const { return mFront; }
  const std::string& ReadyAddress() const { return mReady; }
  bool AwaitReady(double aTimeout) const;
  bool IsReady() const;
  void Start();
  void Signal(int aNumber);
  // Waits for the end of the process. Returns false after the timeout.
  bool AwaitEnd(double aTimeout);

private:
  record& mLog;
  std::string mName;
  std::string mFront;
  std::string mReady;
  std::string mFolder;
  pid_t mPid = -1;
};

// Connects to "ip:port". receive_buffer: size of the receive buffer in bytes; 0
// for the default. Returns -1 if that fails.
int Connect(const std::string& aDdress, int aReceiveBuffer = 0);

// What a requester gets.
struct answer
{
  int mStatus = 0;
  bool mComplete = false;
  bool mWasReset = false;
  message mHead;
  std::string mBody;
  double mFirstAt = 0;
  double mEndedAt = 0;
};

// Sends a request on a new connection and reads the answer until it is
// complete, the connection ends or the time limit has passed.
answer Call(record& aLog, const std::string& aFront, const std::string& aId,
            const std::string& aRequest, double aLimitS);

// Returns the text of a request with the usual fields.
std::string MakeRequest(const std::string& aMethod, const std::string& aPath,
                        const std::string& aId, int aDeadlineMs,
                        const std::string& aMoreFields,
                        const std::string& aBody);

// The operator's configuration with these routes and services, as JSON lists,
// and the tenant "workshop" with the key "key-1".
std::string MakeConfig(int aVersion, const std::string& aRoutes,
                       const std::string& aServices);

// Ends the case: kills what still runs and exits with the code.
[[noreturn]] void Finish(record& aLog, int aCode, const std::string& aVerdict);

} // namespace review

#endif
