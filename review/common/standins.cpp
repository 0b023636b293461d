#include "standins.hpp"

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>
#include <sstream>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "json/json.h"

namespace review {

namespace {

using steady = std::chrono::steady_clock;
const steady::time_point kStart = steady::now();

std::mutex gProcessMutex;
std::set<pid_t> gProcesses;
std::set<std::string> gFolders;

sockaddr_in ToAddress(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

int BindPort(const std::string& aIp, int aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = ToAddress(aIp, aPort);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int GetPort(int aFd)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(aFd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

int FindFreePort(const std::string& aIp)
{
  const int fd = BindPort(aIp, 0);
  const int port = GetPort(fd);
  close(fd);
  return port;
}

bool EqualsIgnoringCase(const std::string& aLeft, const std::string& aRight)
{
  return strcasecmp(aLeft.c_str(), aRight.c_str()) == 0;
}

bool ParseHead(const std::string& aText, message& aInto)
{
  std::istringstream lines(aText);
  std::string line;
  std::getline(lines, line);
  aInto = message{};
  aInto.mStart = line.substr(0, line.find('\r'));
  while (std::getline(lines, line)) {
    line = line.substr(0, line.find('\r'));
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const auto value = line.find_first_not_of(' ', colon + 1);
    aInto.mFields.emplace_back(line.substr(0, colon), value == std::string::npos
                                                        ? ""
                                                        : line.substr(value));
  }
  return !aInto.mStart.empty();
}

std::string EncodeBase64(const std::string& aText)
{
  static const char* digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    const auto at = [aText](std::size_t aK) {
      return aK < aText.size() ? static_cast<unsigned char>(aText[aK]) : 0U;
    };
    const unsigned bits = at(i) << 16 | at(i + 1) << 8 | at(i + 2);
    for (int k = 0; k < 4; ++k) {
      out += i + static_cast<std::size_t>(k) > aText.size()
               ? '='
               : digits[bits >> (18 - 6 * k) & 63];
    }
  }
  return out;
}

std::string DecodePercent(const std::string& aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      out += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += aText[i];
    }
  }
  return out;
}

std::map<std::string, std::string> ParseQuery(const std::string& aTarget)
{
  std::map<std::string, std::string> values;
  const auto mark = aTarget.find('?');
  if (mark == std::string::npos) {
    return values;
  }
  std::istringstream parts(aTarget.substr(mark + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    const auto sign = part.find('=');
    values[part.substr(0, sign)] =
      sign == std::string::npos ? "" : DecodePercent(part.substr(sign + 1));
  }
  return values;
}

std::string ToText(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

bool StartsWith(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

} // namespace

double Now()
{
  return std::chrono::duration<double>(steady::now() - kStart).count();
}

void Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

bool HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string MakeIp(int aHost)
{
  const int pid = getpid();
  return "127." + std::to_string(64 + pid % 128) + "." +
         std::to_string(1 + pid / 128 % 250) + "." + std::to_string(aHost);
}

// --- record -----------------------------------------------------------------

record::record(const std::string& aPath)
  : mFile(std::fopen(aPath.c_str(), "w"))
{
  std::signal(SIGPIPE, SIG_IGN);
}

record::~record()
{
  std::fclose(mFile);
}

void record::Line(const char* aFormat, ...)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::fprintf(mFile, "%8.3f ", Now());
  va_list arguments;
  va_start(arguments, aFormat);
  std::vfprintf(mFile, aFormat, arguments);
  va_end(arguments);
  std::fputc('\n', mFile);
  std::fflush(mFile);
}

// --- message, connection ----------------------------------------------------

std::string message::Field(const std::string& aName) const
{
  for (const auto& each : mFields) {
    if (EqualsIgnoringCase(each.first, aName)) {
      return each.second;
    }
  }
  return "";
}

std::string message::Method() const
{
  return mStart.substr(0, mStart.find(' '));
}

std::string message::Target() const
{
  const auto begin = mStart.find(' ') + 1;
  return mStart.substr(begin, mStart.find(' ', begin) - begin);
}

connection::~connection()
{
  close(mFd);
}

bool connection::Send(const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t size =
      ::send(mFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool connection::Receive(double aTimeout)
{
  pollfd wait{ mFd, POLLIN, 0 };
  if (poll(&wait, 1, std::max(0, static_cast<int>(aTimeout * 1000))) <= 0) {
    return false;
  }
  char bytes[65536];
  const ssize_t size = recv(mFd, bytes, sizeof(bytes), 0);
  mReset = mReset || size < 0;
  if (size <= 0) {
    return false;
  }
  mBuffer.append(bytes, static_cast<std::size_t>(size));
  return true;
}

bool connection::Read(message& aInto, double aTimeout)
{
  const double end = Now() + aTimeout;
  std::size_t head = std::string::npos;
  while ((head = mBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Receive(end - Now())) {
      return false;
    }
  }
  ParseHead(mBuffer.substr(0, head + 2), aInto);
  mBuffer.erase(0, head + 4);
  const std::string length = aInto.Field("Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (mBuffer.size() < size) {
    if (!Receive(end - Now())) {
      return false;
    }
  }
  aInto.mBody = mBuffer.substr(0, size);
  mBuffer.erase(0, size);
  return true;
}

void connection::Reset()
{
  const linger option{ 1, 0 };
  setsockopt(mFd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  // A socket without a peer resets the connection; the descriptor stays valid
  // until the destructor.
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  connect(mFd, &none, sizeof(none));
}

bool connection::PeerClosed() const
{
  char byte = 0;
  const ssize_t size = recv(mFd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// --- listener ---------------------------------------------------------------

listener::listener(const std::string& aIp,
                   std::function<void(connection&)> aServe)
  : mIp(aIp)
  , mServe(std::move(aServe))
{
  Open();
}

listener::~listener()
{
  Crash();
}

void listener::Open()
{
  mFd = BindPort(mIp, mPort);
  mPort = GetPort(mFd);
  listen(mFd, 256);
  mThread = std::thread([this] {
    for (;;) {
      const int fd = accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      ++mRunning;
      std::thread([this, fd] {
        {
          connection caller(fd);
          {
            const std::lock_guard<std::mutex> lock(mMutex);
            mOpen[&caller] = fd;
          }
          mServe(caller);
          const std::lock_guard<std::mutex> lock(mMutex);
          mOpen.erase(&caller);
        }
        --mRunning;
      }).detach();
    }
  });
}

std::string listener::Address() const
{
  return mIp + ":" + std::to_string(mPort);
}

void listener::CloseAll()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& each : mOpen) {
    each.first->Reset();
  }
}

void listener::Crash()
{
  if (mFd < 0) {
    return;
  }
  shutdown(mFd, SHUT_RDWR);
  mThread.join();
  close(mFd);
  mFd = -1;
  CloseAll();
  while (mRunning > 0) {
    Sleep(0.002);
    CloseAll();
  }
}

void listener::Restart()
{
  Open();
}

// --- store ------------------------------------------------------------------

store::store(record& aLog)
  : mLog(aLog)
{
  mListener = std::make_unique<listener>(
    MakeIp(2), [this](connection& aCaller) { Serve(aCaller); });
}

store::~store()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
    mChanged.notify_all();
  }
  mListener.reset();
}

void store::Write(const std::string& aKey, const item& aValue)
{
  item written = aValue;
  const auto found = mItems.find(aKey);
  written.mCreated = found == mItems.end() ? mRevision : found->second.mCreated;
  written.mRevision = mRevision;
  if (written.mRemoved) {
    mItems.erase(aKey);
  } else {
    mItems[aKey] = written;
  }
  mHistory.emplace_back(aKey, written);
  mChanged.notify_all();
}

void store::Put(const std::string& aKey, const std::string& aValue)
{
  std::unique_lock<std::mutex> lock(mMutex);
  mChanged.wait(lock, [this] { return !mSilent; });
  ++mRevision;
  item written;
  written.mValue = EncodeBase64(aValue);
  written.mRemoved = aValue.empty();
  Write(aKey, written);
  mLog.Line("store accepts %s: %s", aKey.c_str(),
            aValue.empty()         ? "removed"
            : aValue.size() <= 400 ? aValue.c_str()
                                   : "(long)");
}

void store::SetSilent(bool aSilent)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mSilent = aSilent;
  mLog.Line("store is %s", aSilent ? "silent" : "back");
  mChanged.notify_all();
}

void store::TakeCopy()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mCopy = mItems;
  mCopyRevision = mRevision;
  mLog.Line("store: a copy is taken at revision %ju",
            std::uintmax_t{ mRevision });
}

void store::Restore()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mLog.Line("store returns from revision %ju to its copy of revision %ju",
            std::uintmax_t{ mRevision }, std::uintmax_t{ mCopyRevision });
  mItems = mCopy;
  mRevision = mCopyRevision;
  mHistory.clear();
  mHistoryStart = mRevision;
  mLeases.clear();
  ++mEra;
}

void store::Serve(connection& aCaller)
{
  message call;
  while (aCaller.Read(call, 3600)) {
    std::unique_lock<std::mutex> lock(mMutex);
    int status = 404;
    std::string body = "{}";
    const bool answered =
      !mSilent && Handle(call, status, body, lock) && !mSilent;
    if (!answered) {
      mChanged.wait(lock, [this] { return !mSilent || mStopping; });
      return;
    }
    const std::string era = std::to_string(mEra);
    lock.unlock();
    if (!aCaller.Send("HTTP/1.1 " + std::to_string(status) +
                      " Answer\r\nStore-Era: " + std::to_string(mEra) +
                      "\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

bool store::Handle(const message& aCall, int& aStatus, std::string& aBody,
                   std::unique_lock<std::mutex>& aLock)
{
  const auto toJson = [](const std::string& aKey, const item& aValue) {
    Json::Value json;
    json["key"] = aKey;
    json["revision"] = Json::UInt64(aValue.mRevision);
    if (aValue.mRemoved) {
      json["tombstone"] = true;
      return json;
    }
    json["value"] = aValue.mValue;
    json["created"] = Json::UInt64(aValue.mCreated);
    json["lease"] = Json::UInt64(aValue.mLease);
    return json;
  };
  const std::string target = aCall.Target();
  const std::string path = target.substr(0, target.find('?'));
  auto query = ParseQuery(target);
  Json::Value json;
  std::istringstream(aCall.mBody.empty() ? "{}" : aCall.mBody) >> json;
  Json::Value out(Json::objectValue);
  aStatus = 200;
  if (path == "/-/kv-range") {
    out["items"] = Json::Value(Json::arrayValue);
    out["more_pages"] = false;
    for (const auto& each : mItems) {
      if (StartsWith(each.first, query["prefix"]) &&
          each.first > query["after"]) {
        out["items"].append(toJson(each.first, each.second));
      }
    }
    out["store_revision"] = Json::UInt64(mRevision);
  } else if (path == "/-/kv-watch") {
    const std::uint64_t after = std::stoull("0" + query["after"]);
    if (after > mRevision || after < mHistoryStart) {
      aStatus = 410;
      aBody = "{}";
      return true;
    }
    const double end = Now() + std::stod("0" + query["wait_ms"]) / 1000;
    out["events"] = Json::Value(Json::arrayValue);
    for (;;) {
      for (const auto& each : mHistory) {
        if (each.second.mRevision > after &&
            StartsWith(each.first, query["prefix"])) {
          out["events"].append(toJson(each.first, each.second));
        }
      }
      if (!out["events"].empty() || Now() >= end || mSilent || mStopping) {
        break;
      }
      mChanged.wait_for(aLock, std::chrono::duration<double>(end - Now()));
    }
    out["store_revision"] = Json::UInt64(mRevision);
  } else if (path == "/-/kv-txn") {
    bool matches = true;
    out["items"] = Json::Value(Json::arrayValue);
    for (const Json::Value& row : json["expected_revision"]) {
      const auto found = mItems.find(row["key"].asString());
      const bool exists = found != mItems.end();
      matches = matches && row["revision"].asUInt64() ==
                             (exists ? found->second.mRevision : 0);
      if (exists) {
        out["items"].append(toJson(found->first, found->second));
      }
    }
    if (!matches) {
      aStatus = 412;
    } else {
      out = Json::Value(Json::objectValue);
      ++mRevision;
      for (const Json::Value& put : json["puts"]) {
        item value;
        value.mValue = put["value"].asString();
        value.mLease = put["lease"].asUInt64();
        Write(put["key"].asString(), value);
      }
      for (const Json::Value& key : json["remove"]) {
        if (mItems.count(key.asString()) > 0) {
          item value;
          value.mRemoved = true;
          Write(key.asString(), value);
        }
      }
      out["revision"] = Json::UInt64(mRevision);
    }
  } else if (path == "/-/kv-lease") {
    out = json;
    out["lease"] = Json::UInt64(mNextLease);
    mLeases[mNextLease++] = true;
  } else if (StartsWith(path, "/-/kv-keep/")) {
    const std::uint64_t lease = std::stoull(path.substr(11));
    aStatus = mLeases.count(lease) > 0 ? 200 : 404;
    out["ttl_ms"] = 60000;
  } else if (StartsWith(path, "/-/kv-lease-end/")) {
    const std::uint64_t lease = std::stoull(path.substr(16));
    mLeases.erase(lease);
    ++mRevision;
    std::vector<std::string> ended;
    for (const auto& each : mItems) {
      if (each.second.mLease == lease) {
        ended.push_back(each.first);
      }
    }
    for (const std::string& key : ended) {
      item value;
      value.mRemoved = true;
      Write(key, value);
    }
  } else {
    aStatus = 404;
  }
  aBody = ToText(out);
  return true;
}

// --- worker -----------------------------------------------------------------

worker::worker(record& aLog, int aHost, const std::string& aId,
               const std::string& aService, handler aHandle)
  : mBorn(1780000000000 + getpid())
  , mLog(aLog)
  , mId(aId)
  , mService(aService)
  , mHandle(std::move(aHandle))
  , mListener(MakeIp(aHost), [this](connection& aCaller) { Serve(aCaller); })
{}

std::string worker::Entry(const std::string& aState) const
{
  Json::Value json;
  json["service"] = mService;
  json["address"] = Address();
  json["zone"] = "z-a";
  json["version"] = "v1";
  json["slots"] = 64;
  json["state"] = aState;
  json["cold_left_ms"] = 0;
  json["sequence"] = 1;
  json["born"] = Json::Int64(mBorn);
  return ToText(json);
}

std::string worker::Head(const message& aRequest, int aStatus) const
{
  const std::string id = aRequest.Field("Foxtailquay-Attempt-Id");
  return "HTTP/1.1 " + std::to_string(aStatus) + " " +
         (aStatus == 200 ? "OK" : "Failure") +
         "\r\nFoxtailquay-Attempt-Id: " + id +
         "\r\nFoxtailquay-Server-Seal: seal-" + id +
         "\r\nFoxtailquay-Server-Load: 1,0,64\r\n" +
         (mLeaving ? "Server-Leaving: 1\r\nConnection: close\r\n"
                   : "Keep-Alive: timeout=15\r\n");
}

void worker::Serve(connection& aCaller)
{
  message request;
  while (aCaller.Read(request, 15)) {
    if (request.Field("Foxtailquay-Expect-Instance") != mId) {
      mLog.Line("worker %s answers 421 to %s", mId.c_str(),
                request.Field("Foxtailquay-Attempt-Id").c_str());
      if (!aCaller.Send("HTTP/1.1 421 Misdirected Request\r\n"
                        "Foxtailquay-Instance-Id: " +
                        mId + "\r\nContent-Length: 0\r\n\r\n")) {
        return;
      }
      continue;
    }
    mHandle(*this, aCaller, request);
    if (mLeaving || aCaller.PeerClosed()) {
      return;
    }
  }
}

// --- gateway ----------------------------------------------------------------

gateway::gateway(record& aLog, const store& aPlatform, const std::string& aName,
                 int aHost)
  : mLog(aLog)
  , mName(aName)
{
  const std::string ip = MakeIp(aHost);
  mFront = ip + ":" + std::to_string(FindFreePort(ip));
  mReady = ip + ":" + std::to_string(FindFreePort(ip));
  char folder[] = "/tmp/review-XXXXXX";
  mFolder = mkdtemp(folder);
  gFolders.insert(mFolder);
  const int port = FindFreePort(ip);
  std::ofstream(mFolder + "/settings.conf")
    << "node_name=" << aName << "\nrole=gateway\nmachine_class=front\n"
    << "serves=front\nip=" << ip << "\nzone=z-a\nregion=r\nzones.z-a=r\n"
    << "listen.front=" << mFront << "\nlisten.ready=" << mReady
    << "\ninternal_ports=" << port << "," << port + 15
    << "\nbootstrap=true\nlimits.cpu_share=0.19\nlimits.memory_mb=260\n"
    << "limits.max_fds=4100\nlimits.link_mbps=1000.0\nheartbeat_ms=1200\n"
    << "bounds.addr_reuse_s=2\nbounds.contact_ms=3000\nbounds.drain_ms=2000\n"
    << "bounds.grace_s=8\nbounds.loss_slack_ms=200\n"
    << "bounds.config_apply_ms=2000\nbounds.retry_budget_ratio=0.2\n"
    << "bounds.budget_window_s=10\nbounds.budget_slack=56\n"
    << "platform.address=" << aPlatform.Address()
    << "\nplatform.form=kv\nplatform.writes_per_s=400\n"
    << "platform.reads_per_s=2000\nplatform.history_s=20\n"
    << "platform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n";
  Start();
}

void gateway::Start()
{
  // The command of the deploy file, from run.sh.
  std::istringstream words(std::getenv("GATEWAY_RUN"));
  std::vector<std::string> arguments;
  std::string word;
  while (words >> word) {
    arguments.push_back(word);
  }
  std::vector<char*> argv;
  for (std::string& each : arguments) {
    argv.push_back(each.data());
  }
  argv.push_back(nullptr);
  std::string settings = "FOXTAILQUAY_NODE_FILE=" + mFolder + "/settings.conf";
  std::string path = "PATH=/usr/bin:/bin";
  char* environment[] = { settings.data(), path.data(), nullptr };
  const std::string output = mFolder + "/log";
  mPid = fork();
  if (mPid == 0) {
    // The gateway ends with this process, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(output.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
    dup2(fd, 1);
    dup2(fd, 2);
    execve(argv[0], argv.data(), environment);
    _exit(127);
  }
  const std::lock_guard<std::mutex> lock(gProcessMutex);
  gProcesses.insert(mPid);
  mLog.Line("gateway %s starts", mName.c_str());
}

gateway::~gateway()
{
  if (mPid > 0) {
    kill(mPid, SIGKILL);
    AwaitEnd(5);
  }
}

void gateway::Signal(int aNumber)
{
  mLog.Line("gateway %s gets signal %d", mName.c_str(), aNumber);
  kill(mPid, aNumber);
}

bool gateway::AwaitEnd(double aTimeout)
{
  const double end = Now() + aTimeout;
  while (mPid > 0 && Now() < end) {
    int status = 0;
    if (waitpid(mPid, &status, WNOHANG) == mPid) {
      mLog.Line("gateway %s ended, status %d", mName.c_str(), status);
      const std::lock_guard<std::mutex> lock(gProcessMutex);
      gProcesses.erase(mPid);
      mPid = -1;
    } else {
      Sleep(0.01);
    }
  }
  return mPid < 0;
}

bool gateway::IsReady() const
{
  const int fd = Connect(mReady);
  if (fd < 0) {
    return false;
  }
  connection caller(fd);
  message answered;
  return caller.Send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
         caller.Read(answered, 1) &&
         answered.mStart.find(" 200 ") != std::string::npos;
}

bool gateway::AwaitReady(double aTimeout) const
{
  const double end = Now() + aTimeout;
  while (Now() < end) {
    if (IsReady()) {
      return true;
    }
    Sleep(0.05);
  }
  return false;
}

// --- requesters -------------------------------------------------------------

int Connect(const std::string& aDdress, int aReceiveBuffer)
{
  const auto colon = aDdress.rfind(':');
  const sockaddr_in to =
    ToAddress(aDdress.substr(0, colon), std::stoi(aDdress.substr(colon + 1)));
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBuffer > 0) {
    // Segments as on Ethernet: loopback's of 64 KiB let the sender's operating
    // system buffer megabytes.
    const int segment = 1448;
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer,
               sizeof(aReceiveBuffer));
  }
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

namespace {

// Decodes the chunks in text. Returns true if the last one is there.
bool DecodeChunks(const std::string& aText, std::string& aBody)
{
  aBody.clear();
  std::size_t at = 0;
  for (;;) {
    const auto end = aText.find("\r\n", at);
    if (end == std::string::npos) {
      return false;
    }
    const std::size_t size =
      std::stoul(aText.substr(at, end - at), nullptr, 16);
    if (size == 0) {
      return aText.size() >= end + 4;
    }
    aBody += aText.substr(end + 2, size);
    at = end + 2 + size + 2;
    if (at > aText.size()) {
      return false;
    }
  }
}

} // namespace

answer Call(record& aLog, const std::string& aFront, const std::string& aId,
            const std::string& aRequest, double aLimitS)
{
  answer result;
  const double end = Now() + aLimitS;
  const int fd = Connect(aFront);
  if (fd < 0) {
    aLog.Line("requester %s: no connection", aId.c_str());
    return result;
  }
  connection gate(fd);
  aLog.Line("requester sends %s", aId.c_str());
  gate.Send(aRequest);
  std::size_t head = std::string::npos;
  bool open = true;
  while ((head = gate.Buffer().find("\r\n\r\n")) == std::string::npos && open) {
    open = gate.Receive(end - Now());
  }
  if (head != std::string::npos) {
    result.mFirstAt = Now();
    ParseHead(gate.Buffer().substr(0, head + 2), result.mHead);
    gate.Buffer().erase(0, head + 4);
    const auto space = result.mHead.mStart.find(' ');
    result.mStatus = std::atoi(result.mHead.mStart.c_str() + space);
    const std::string length = result.mHead.Field("Content-Length");
    for (;;) {
      result.mComplete =
        length.empty()
          ? DecodeChunks(gate.Buffer(), result.mBody)
          : (result.mBody = gate.Buffer()).size() >= std::stoul(length);
      if (result.mComplete || !open) {
        break;
      }
      open = gate.Receive(end - Now());
    }
  }
  result.mWasReset = gate.WasReset();
  result.mEndedAt = Now();
  aLog.Line("requester gets for %s: status %d, %s, %zu bytes%s", aId.c_str(),
            result.mStatus, result.mComplete ? "complete" : "incomplete",
            result.mBody.size(),
            result.mStatus != 200 && !result.mBody.empty()
              ? (" " + result.mBody).c_str()
              : "");
  return result;
}

std::string MakeRequest(const std::string& aMethod, const std::string& aPath,
                        const std::string& aId, int aDeadlineMs,
                        const std::string& aMoreFields,
                        const std::string& aBody)
{
  return aMethod + " " + aPath +
         " HTTP/1.1\r\nHost: shop.example\r\nFoxtailquay-Attempt-Id: " + aId +
         "\r\nFoxtailquay-Deadline-Ms: " + std::to_string(aDeadlineMs) +
         "\r\nAuthorization: Bearer key-1\r\n" + aMoreFields +
         (aMethod == "GET"
            ? "\r\n"
            : "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n") +
         aBody;
}

std::string MakeConfig(int aVersion, const std::string& aRoutes,
                       const std::string& aServices)
{
  return "{\"version\":" + std::to_string(aVersion) + ",\"routes\":" + aRoutes +
         ",\"services\":" + aServices +
         ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
         "\"tenants\":[{\"name\":\"workshop\",\"api_keys\":[\"key-1\"],"
         "\"priority\":1,\"prepaid\":5968526}]}";
}

void Finish(record& aLog, int aCode, const std::string& aVerdict)
{
  {
    const std::lock_guard<std::mutex> lock(gProcessMutex);
    for (const pid_t pid : gProcesses) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
  for (const std::string& folder : gFolders) {
    if (const char* keep = std::getenv("KEEP_LOG")) {
      std::filesystem::copy(
        folder, keep,
        std::filesystem::copy_options::recursive |
          std::filesystem::copy_options::overwrite_existing);
    }
    std::filesystem::remove_all(folder);
  }
  aLog.Line("%s (exit code %d)", aVerdict.c_str(), aCode);
  std::printf("%s (exit code %d)\n", aVerdict.c_str(), aCode);
  std::fflush(stdout);
  std::_Exit(aCode);
}

} // namespace review
