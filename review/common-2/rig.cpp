#include "rig.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <strings.h>

namespace rig {

namespace {

using steady = std::chrono::steady_clock;
const steady::time_point kStart = steady::now();
std::FILE* gRecord = nullptr;
std::mutex gRecordMutex;

int OpenListener(const std::string& aIp, int aPort, int* aBound)
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  socklen_t size = sizeof(address);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0) {
    close(listener);
    return -1;
  }
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  *aBound = ntohs(address.sin_port);
  return listener;
}

// Returns a port of aIp that no program listens on now.
int FindFreePort(const std::string& aIp)
{
  int port = 0;
  const int listener = OpenListener(aIp, 0, &port);
  if (listener >= 0) {
    close(listener);
  }
  return port;
}

// Waits until bytes can be read; returns false after the time.
bool AwaitReadable(int aSocket, long aTimeoutMs)
{
  pollfd waiting{ aSocket, POLLIN, 0 };
  return poll(&waiting, 1, static_cast<int>(std::max(0L, aTimeoutMs))) > 0;
}

// Reads more bytes into aBuffer. Returns 1 if some came, 0 at the end of the
// channel, -1 after the time.
int ReadMore(int aSocket, std::string& aBuffer, long aUntilMs)
{
  if (!AwaitReadable(aSocket, aUntilMs - NowMs())) {
    return -1;
  }
  char bytes[65536];
  const ssize_t size = recv(aSocket, bytes, sizeof(bytes), 0);
  if (size <= 0) {
    return 0;
  }
  aBuffer.append(bytes, static_cast<std::size_t>(size));
  return 1;
}

bool IsSame(const std::string& aLeft, const std::string& aRight)
{
  return strcasecmp(aLeft.c_str(), aRight.c_str()) == 0;
}

// Returns the command of the gateway role in the deploy file, split at spaces.
std::vector<std::string> ReadCommand()
{
  std::ifstream file("deploy/system.toml");
  std::string line;
  while (std::getline(file, line)) {
    const std::string name = "run = \"";
    if (line.compare(0, name.size(), name) == 0) {
      std::istringstream words(
        line.substr(name.size(), line.rfind('"') - name.size()));
      std::vector<std::string> command;
      for (std::string word; words >> word;) {
        command.push_back(word);
      }
      return command;
    }
  }
  return {};
}

} // namespace

long NowMs()
{
  return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(
                             steady::now() - kStart)
                             .count());
}

void SleepMs(long aTime)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(std::max(0L, aTime)));
}

void OpenRecord(const std::string& aFolder)
{
  signal(SIGPIPE, SIG_IGN);
  gRecord = std::fopen((aFolder + "/record.txt").c_str(), "w");
}

namespace {

void Write(const char* aFormat, va_list aArguments, bool aPrints)
{
  const std::lock_guard<std::mutex> lock(gRecordMutex);
  char text[2048];
  std::vsnprintf(text, sizeof(text), aFormat, aArguments);
  for (std::FILE* target : { gRecord, aPrints ? stdout : nullptr }) {
    if (target != nullptr) {
      std::fprintf(target, "%7ld ms  %s\n", NowMs(), text);
      std::fflush(target);
    }
  }
}

} // namespace

void Record(const char* aFormat, ...)
{
  va_list arguments;
  va_start(arguments, aFormat);
  Write(aFormat, arguments, true);
  va_end(arguments);
}

void Note(const char* aFormat, ...)
{
  va_list arguments;
  va_start(arguments, aFormat);
  Write(aFormat, arguments, false);
  va_end(arguments);
}

bool HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string message::Get(const std::string& aName) const
{
  for (const auto& field : mFields) {
    if (IsSame(field.first, aName)) {
      return field.second;
    }
  }
  return {};
}

int message::Status() const
{
  return mStart.size() < 12 ? 0 : std::atoi(mStart.c_str() + 9);
}

message ReadMessage(int aSocket, std::string& aBuffer, bool aIsResponse,
                    long aTimeoutMs)
{
  const long until = NowMs() + aTimeoutMs;
  message read;
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    const int more = ReadMore(aSocket, aBuffer, until);
    if (more <= 0) {
      read.mIsClosed = more == 0;
      return read;
    }
  }
  std::istringstream head(aBuffer.substr(0, end + 2));
  aBuffer.erase(0, end + 4);
  std::string line;
  const auto take = [&head, &line] {
    const bool is = static_cast<bool>(std::getline(head, line));
    if (is && !line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    return is;
  };
  take();
  read.mStart = line;
  while (take()) {
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      read.mFields.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? std::string() : line.substr(value));
    }
  }
  const std::string length = read.Get("Content-Length");
  if (IsSame(read.Get("Transfer-Encoding"), "chunked")) {
    for (;;) {
      while ((end = aBuffer.find("\r\n")) == std::string::npos) {
        const int more = ReadMore(aSocket, aBuffer, until);
        if (more <= 0) {
          read.mIsClosed = more == 0;
          return read;
        }
      }
      const std::size_t size = std::strtoul(aBuffer.c_str(), nullptr, 16);
      while (aBuffer.size() < end + 2 + size + 2) {
        const int more = ReadMore(aSocket, aBuffer, until);
        if (more <= 0) {
          read.mBody += aBuffer.substr(end + 2, size);
          aBuffer.clear();
          read.mIsClosed = more == 0;
          return read;
        }
      }
      read.mBody += aBuffer.substr(end + 2, size);
      aBuffer.erase(0, end + 2 + size + 2);
      if (size == 0) {
        read.mIsComplete = true;
        return read;
      }
    }
  }
  if (length.empty() && aIsResponse) {
    for (;;) {
      read.mBody += aBuffer;
      aBuffer.clear();
      const int more = ReadMore(aSocket, aBuffer, until);
      if (more <= 0) {
        read.mIsClosed = more == 0;
        read.mIsComplete = more == 0;
        return read;
      }
    }
  }
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (aBuffer.size() < size) {
    const int more = ReadMore(aSocket, aBuffer, until);
    if (more <= 0) {
      read.mBody = aBuffer;
      read.mIsClosed = more == 0;
      return read;
    }
  }
  read.mBody = aBuffer.substr(0, size);
  aBuffer.erase(0, size);
  read.mIsComplete = true;
  return read;
}

bool SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t size =
      send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

worker::worker(std::string aId, handler aHandler)
  : mId(std::move(aId))
  , mHandler(std::move(aHandler))
{
  mListener = OpenListener("127.0.0.1", 0, &mPort);
  listen(mListener, 1024);
  mThread = std::thread([this] {
    while (!mIsStopping) {
      if (!AwaitReadable(mListener, 50)) {
        continue;
      }
      const int socket = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        continue;
      }
      const int yes = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
      const std::lock_guard<std::mutex> lock(mMutex);
      mSockets.push_back(socket);
      mCalls.emplace_back([this, socket] {
        std::string buffer;
        for (;;) {
          worker_call call;
          call.mSocket = socket;
          call.mRequest = ReadMessage(socket, buffer, false, 120000);
          if (!call.mRequest.mIsComplete) {
            break;
          }
          Note("%s gets %s", mId.c_str(),
               call.mRequest.Get("Foxtailquay-Attempt-Id").c_str());
          mHandler(call);
          if (call.mReset) {
            const linger none{ 1, 0 };
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
            const std::lock_guard<std::mutex> lockReset(mMutex);
            mSockets.erase(std::find(mSockets.begin(), mSockets.end(), socket));
            close(socket);
            return;
          }
          if (call.mClose) {
            break;
          }
        }
        shutdown(socket, SHUT_RDWR);
      });
    }
  });
}

worker::~worker()
{
  mIsStopping = true;
  mThread.join();
  close(mListener);
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const int socket : mSockets) {
      shutdown(socket, SHUT_RDWR);
    }
  }
  for (std::thread& each : mCalls) {
    each.join();
  }
  for (const int socket : mSockets) {
    close(socket);
  }
}

std::string MakeHead(const worker& aWorker, const message& aRequest,
                     int aStatus, const std::string& aFurther)
{
  const std::string id = aRequest.Get("Foxtailquay-Attempt-Id");
  return "HTTP/1.1 " + std::to_string(aStatus) +
         (aStatus == 200 ? " OK" : " Status") +
         "\r\nFoxtailquay-Attempt-Id: " + id +
         "\r\nFoxtailquay-Server-Seal: " + aWorker.mId + "." + id + "\r\n" +
         aFurther + "\r\n";
}

Json::Value MakeEntry(const worker& aWorker, const std::string& aService,
                      const std::string& aState, int aSequence, int aSlots)
{
  Json::Value entry;
  entry["service"] = aService;
  entry["address"] = "127.0.0.1:" + std::to_string(aWorker.mPort);
  entry["zone"] = "z-a";
  entry["version"] = "1";
  entry["slots"] = aSlots;
  entry["state"] = aState;
  entry["cold_left_ms"] = 0;
  entry["sequence"] = aSequence;
  entry["born"] = Json::Int64(1700000000000);
  return entry;
}

gateway MakeGateway(const std::string& aFolder, int aIndex, int aStorePort)
{
  // An address for each gateway, since the metrics port is the same for all.
  static const int kNet = 64 + static_cast<int>(std::random_device()() % 128);
  static const int kSubnet = static_cast<int>(std::random_device()() % 250);
  gateway made;
  made.mName = "front-z-a-" + std::to_string(aIndex);
  made.mIp = "127." + std::to_string(kNet) + "." + std::to_string(kSubnet) +
             "." + std::to_string(aIndex);
  made.mFrontPort = FindFreePort(made.mIp);
  made.mReadyPort = FindFreePort(made.mIp);
  made.mPeerPort = FindFreePort(made.mIp);
  made.mFile = aFolder + "/" + made.mName + ".conf";
  made.mLog = aFolder + "/" + made.mName + ".log";
  std::ofstream(made.mFile)
    << "node_name=" << made.mName << "\nrole=gateway\nmachine_class=front\n"
    << "serves=front\nip=" << made.mIp << "\nzone=z-a\nregion=r\n"
    << "listen.front=" << made.mIp << ":" << made.mFrontPort << "\n"
    << "listen.ready=" << made.mIp << ":" << made.mReadyPort << "\n"
    << "internal_ports=" << made.mPeerPort << "," << made.mPeerPort << "\n"
    << "bootstrap=true\nlimits.cpu_share=0.19\nlimits.cpu_cores=1\n"
    << "limits.memory_mb=110\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n"
    << "discovery=platform\nentry=vip\nheartbeat_ms=1200\n"
    << "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,"
       "platform\n"
    << "bounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
    << "bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n"
    << "bounds.rollback_slack_ms=250\nbounds.retry_budget_ratio=0.2\n"
    << "bounds.budget_window_s=10\nbounds.budget_slack=56\n"
    << "bounds.recovery_s=12\nplatform.address=127.0.0.1:" << aStorePort
    << "\nplatform.form=kv\nplatform.writes_per_s=400\n"
    << "platform.reads_per_s=2000\nplatform.history_s=20\n"
    << "platform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n";
  return made;
}

bool StartProcess(gateway& aGateway)
{
  const std::vector<std::string> command = ReadCommand();
  if (command.empty()) {
    return false;
  }
  const pid_t parent = getpid();
  aGateway.mPid = fork();
  if (aGateway.mPid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    signal(SIGPIPE, SIG_DFL);
    setenv("FOXTAILQUAY_NODE_FILE", aGateway.mFile.c_str(), 1);
    const int log = open(aGateway.mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                         0600);
    dup2(log, 1);
    dup2(log, 2);
    std::vector<char*> words;
    for (const std::string& word : command) {
      words.push_back(const_cast<char*>(word.c_str()));
    }
    words.push_back(nullptr);
    execv(words[0], words.data());
    _exit(127);
  }
  return aGateway.mPid > 0;
}

void EndProcess(gateway& aGateway, int aSignal, long aWaitMs)
{
  if (aGateway.mPid <= 0) {
    return;
  }
  kill(aGateway.mPid, aSignal);
  const long until = NowMs() + aWaitMs;
  while (waitpid(aGateway.mPid, nullptr, WNOHANG) == 0) {
    if (NowMs() >= until) {
      kill(aGateway.mPid, SIGKILL);
      waitpid(aGateway.mPid, nullptr, 0);
      break;
    }
    SleepMs(5);
  }
  aGateway.mPid = -1;
}

channel::~channel()
{
  if (mSocket >= 0) {
    close(mSocket);
  }
}

bool Open(channel& aChannel, const std::string& aIp, int aPort)
{
  if (aChannel.mSocket >= 0) {
    close(aChannel.mSocket);
  }
  aChannel.mBuffer.clear();
  aChannel.mSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(aChannel.mSocket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return connect(aChannel.mSocket, reinterpret_cast<sockaddr*>(&address),
                 sizeof(address)) == 0;
}

bool IsReady(const gateway& aGateway)
{
  channel asked;
  if (!Open(asked, aGateway.mIp, aGateway.mReadyPort) ||
      !SendAll(asked.mSocket, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")) {
    return false;
  }
  return ReadMessage(asked.mSocket, asked.mBuffer, true, 1000).Status() == 200;
}

bool AwaitReady(const gateway& aGateway, long aTimeoutMs)
{
  const long until = NowMs() + aTimeoutMs;
  while (NowMs() < until) {
    if (IsReady(aGateway)) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

folder::folder()
{
  char name[] = "/tmp/foxtailquay-review-XXXXXX";
  const char* made = mkdtemp(name);
  mPath = made == nullptr ? "." : made;
}

folder::~folder()
{
  if (mPath.size() > 5) {
    std::error_code ignored;
    std::filesystem::remove_all(mPath, ignored);
  }
}

} // namespace rig
