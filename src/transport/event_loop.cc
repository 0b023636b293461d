#include "transport/event_loop.h"

#include <array>
#include <map>
#include <utility>
#include <vector>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/numbers.h"
#include "runtime/clock.h"

namespace foxtailquay {

namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using failure_code = boost::system::error_code;

constexpr std::size_t kScratchBytes = 32768;
// Connections that are accepted in one turn, so that established ones are not
// held up.
constexpr int kAcceptBatch = 16;
constexpr int kListenBacklog = 1024;
constexpr int kKeepAliveProbes = 2;

struct channel
{
  explicit channel(tcp::socket aSocket)
    : mSocket(std::move(aSocket))
  {}

  tcp::socket mSocket;
  channel_handlers mHandlers;
  std::string mUnsent;
  bool mConnected = false;
  bool mReading = false;
  bool mWriting = false;
  bool mPaused = false;
  bool mCloseWhenDrained = false;
  bool mHasSent = false;
  std::uint64_t mConnectTimer = 0;
};

struct listener
{
  explicit listener(asio::io_context& aIo)
    : mAcceptor(aIo)
  {}

  tcp::acceptor mAcceptor;
  std::function<void(channel_id)> mOnAccept;
};

bool IsRetry(const failure_code& aFailure)
{
  return aFailure == asio::error::would_block ||
         aFailure == asio::error::try_again ||
         aFailure == asio::error::interrupted;
}

bool ParseAddress(const std::string& aText, tcp::endpoint& aEndpoint)
{
  const auto colon = aText.rfind(':');
  std::uint32_t port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(aText.substr(colon + 1), &port) || port > 65535) {
    return false;
  }
  failure_code failure;
  const auto ip = asio::ip::make_address_v4(aText.substr(0, colon), failure);
  aEndpoint = tcp::endpoint(ip, static_cast<std::uint16_t>(port));
  return !failure;
}

// A peer without power answers neither data nor probes.
void LimitSilence(tcp::socket& aSocket, absl::Duration aLimit)
{
  const int fd = aSocket.native_handle();
  const int on = 1;
  const int idle = std::max<int>(
    1, static_cast<int>(absl::ToInt64Seconds(aLimit)) - kKeepAliveProbes);
  const int interval = 1;
  const int probes = kKeepAliveProbes;
  const auto timeout =
    static_cast<unsigned int>(absl::ToInt64Milliseconds(aLimit));
  // A system that lacks one of these options still has the timeouts of the
  // calls.
  (void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
  (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
  (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
  (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                   sizeof(timeout));
  (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

struct event_loop_impl
{
  asio::io_context mIo{ 1 };
  absl::flat_hash_map<channel_id, std::unique_ptr<channel>> mChannels;
  std::vector<std::unique_ptr<listener>> mListeners;
  std::uint64_t mNextNumber = 1;
  std::array<char, kScratchBytes> mScratch;
  std::map<std::pair<absl::Time, std::uint64_t>, std::function<void()>> mTimers;
  absl::flat_hash_map<std::uint64_t, absl::Time> mTimerTimes;
  asio::steady_timer mWake{ mIo };
  absl::Time mWakeAt = absl::InfiniteFuture();
};

namespace {

channel* FindChannel(const event_loop& aLoop, channel_id aChannel)
{
  const auto found = aLoop.mImpl->mChannels.find(aChannel);
  return found == aLoop.mImpl->mChannels.end() ? nullptr : found->second.get();
}

void Fail(event_loop& aLoop, channel_id aChannel, close_cause aCause)
{
  const auto found = aLoop.mImpl->mChannels.find(aChannel);
  if (found == aLoop.mImpl->mChannels.end()) {
    return;
  }
  // The handlers may refer to the channel by its id, which is closed now.
  const auto closed = std::move(found->second);
  aLoop.mImpl->mChannels.erase(found);
  CancelTimer(aLoop, closed->mConnectTimer);
  if (closed->mHandlers.mOnClosed) {
    closed->mHandlers.mOnClosed(aCause);
  }
}

void WaitToRead(event_loop& aLoop, channel_id aChannel);
void WaitToWrite(event_loop& aLoop, channel_id aChannel);

// Calls the handler with a copy, because the handler may replace itself.
void DeliverData(channel& aChannel, std::string_view aData)
{
  const auto onData = aChannel.mHandlers.mOnData;
  if (onData) {
    onData(aData);
  }
}

void ReadReady(event_loop& aLoop, channel_id aChannel)
{
  auto& scratch = aLoop.mImpl->mScratch;
  while (channel* each = FindChannel(aLoop, aChannel)) {
    if (each->mPaused) {
      return;
    }
    failure_code failure;
    const std::size_t size =
      each->mSocket.read_some(asio::buffer(scratch), failure);
    if (IsRetry(failure)) {
      WaitToRead(aLoop, aChannel);
      return;
    }
    if (failure) {
      Fail(aLoop, aChannel,
           failure == asio::error::eof ? close_cause::Ended
                                       : close_cause::Broken);
      return;
    }
    DeliverData(*each, std::string_view(scratch.data(), size));
    if (size < scratch.size()) {
      WaitToRead(aLoop, aChannel);
      return;
    }
  }
}

// Calls aOnReady once the socket is ready. aWaiting is the flag of the channel
// that says that such a wait is on.
void Await(event_loop& aLoop, channel_id aChannel, tcp::socket::wait_type aFor,
           bool channel::*aWaiting, void (*aOnReady)(event_loop&, channel_id))
{
  channel* each = FindChannel(aLoop, aChannel);
  if (each == nullptr || each->*aWaiting || !each->mConnected) {
    return;
  }
  each->*aWaiting = true;
  each->mSocket.async_wait(
    aFor, [&aLoop, aChannel, aWaiting, aOnReady](const failure_code& aFailure) {
      channel* ready = FindChannel(aLoop, aChannel);
      if (ready == nullptr) {
        return;
      }
      ready->*aWaiting = false;
      if (aFailure) {
        Fail(aLoop, aChannel, close_cause::Broken);
        return;
      }
      aOnReady(aLoop, aChannel);
    });
}

void WaitToRead(event_loop& aLoop, channel_id aChannel)
{
  const channel* each = FindChannel(aLoop, aChannel);
  if (each != nullptr && !each->mPaused) {
    Await(aLoop, aChannel, tcp::socket::wait_read, &channel::mReading,
          &ReadReady);
  }
}

// Writes what the system takes. False if the channel failed.
bool WriteSome(event_loop& aLoop, channel_id aChannel)
{
  channel* each = FindChannel(aLoop, aChannel);
  std::size_t written = 0;
  failure_code failure;
  while (written < each->mUnsent.size() && !failure) {
    written +=
      each->mSocket.write_some(asio::buffer(each->mUnsent.data() + written,
                                            each->mUnsent.size() - written),
                               failure);
  }
  each->mHasSent = each->mHasSent || written > 0;
  each->mUnsent.erase(0, written);
  if (failure && !IsRetry(failure)) {
    Fail(aLoop, aChannel, close_cause::Broken);
    return false;
  }
  return true;
}

void WriteReady(event_loop& aLoop, channel_id aChannel)
{
  if (!WriteSome(aLoop, aChannel)) {
    return;
  }
  channel* each = FindChannel(aLoop, aChannel);
  if (!each->mUnsent.empty()) {
    WaitToWrite(aLoop, aChannel);
    return;
  }
  if (each->mCloseWhenDrained) {
    Close(aLoop, aChannel);
    return;
  }
  const auto onDrained = each->mHandlers.mOnDrained;
  if (onDrained) {
    onDrained();
  }
}

void WaitToWrite(event_loop& aLoop, channel_id aChannel)
{
  Await(aLoop, aChannel, tcp::socket::wait_write, &channel::mWriting,
        &WriteReady);
}

void Connected(event_loop& aLoop, channel_id aChannel,
               const failure_code& aFailure, absl::Duration aSilenceLimit)
{
  channel* each = FindChannel(aLoop, aChannel);
  if (each == nullptr) {
    return;
  }
  if (aFailure) {
    Fail(aLoop, aChannel, close_cause::NotConnected);
    return;
  }
  CancelTimer(aLoop, each->mConnectTimer);
  each->mConnectTimer = 0;
  each->mConnected = true;
  LimitSilence(each->mSocket, aSilenceLimit);
  WaitToRead(aLoop, aChannel);
  if (!each->mUnsent.empty()) {
    WriteReady(aLoop, aChannel);
  }
}

void Accept(event_loop& aLoop, listener& aListener);

void AcceptReady(event_loop& aLoop, listener& aListener)
{
  for (int i = 0; i < kAcceptBatch; ++i) {
    failure_code failure;
    tcp::socket socket(aLoop.mImpl->mIo);
    aListener.mAcceptor.accept(socket, failure);
    if (failure) {
      break;
    }
    socket.non_blocking(true, failure);
    if (failure) {
      continue;
    }
    LimitSilence(socket, channel_options{}.mSilenceLimit);
    const channel_id id = aLoop.mImpl->mNextNumber++;
    auto accepted = std::make_unique<channel>(std::move(socket));
    accepted->mConnected = true;
    aLoop.mImpl->mChannels[id] = std::move(accepted);
    aListener.mOnAccept(id);
    WaitToRead(aLoop, id);
  }
  Accept(aLoop, aListener);
}

void Accept(event_loop& aLoop, listener& aListener)
{
  aListener.mAcceptor.async_wait(
    tcp::acceptor::wait_read,
    [&aLoop, &aListener](const failure_code& aFailure) {
      if (!aFailure) {
        AcceptReady(aLoop, aListener);
      }
    });
}

void ArmTimers(event_loop& aLoop);

void AdvanceTimers(event_loop& aLoop)
{
  auto& impl = *aLoop.mImpl;
  impl.mWakeAt = absl::InfiniteFuture();
  while (!impl.mTimers.empty() &&
         impl.mTimers.begin()->first.first <= MonotonicNow()) {
    const auto callback = std::move(impl.mTimers.begin()->second);
    impl.mTimerTimes.erase(impl.mTimers.begin()->first.second);
    impl.mTimers.erase(impl.mTimers.begin());
    callback();
  }
  ArmTimers(aLoop);
}

void ArmTimers(event_loop& aLoop)
{
  auto& impl = *aLoop.mImpl;
  if (impl.mTimers.empty() ||
      impl.mTimers.begin()->first.first >= impl.mWakeAt) {
    return;
  }
  impl.mWakeAt = impl.mTimers.begin()->first.first;
  impl.mWake.expires_after(absl::ToChronoNanoseconds(
    std::max(absl::ZeroDuration(), impl.mWakeAt - MonotonicNow())));
  impl.mWake.async_wait([&aLoop](const failure_code& aFailure) {
    if (!aFailure) {
      AdvanceTimers(aLoop);
    }
  });
}

error ListenError(const std::string& aAddress, const std::string& aDetail)
{
  return error{ error_code::InvalidSetting, executed::No, aAddress, aDetail,
                absl::ZeroDuration() };
}

} // namespace

void event_loop_deleter::operator()(event_loop_impl* aImpl) const
{
  delete aImpl;
}

event_loop::event_loop()
  : mImpl(new event_loop_impl)
{}

result<success> Listen(event_loop& aLoop, const std::string& aAddress,
                       std::function<void(channel_id)> aOnAccept)
{
  tcp::endpoint endpoint;
  if (!ParseAddress(aAddress, endpoint)) {
    return ListenError(aAddress, "is not an IPv4 address and port");
  }
  auto added = std::make_unique<listener>(aLoop.mImpl->mIo);
  added->mOnAccept = std::move(aOnAccept);
  failure_code failure;
  added->mAcceptor.open(endpoint.protocol(), failure);
  if (!failure) {
    added->mAcceptor.set_option(tcp::acceptor::reuse_address(true), failure);
  }
  if (!failure) {
    added->mAcceptor.bind(endpoint, failure);
  }
  if (!failure) {
    added->mAcceptor.listen(kListenBacklog, failure);
  }
  if (!failure) {
    added->mAcceptor.non_blocking(true, failure);
  }
  if (failure) {
    return ListenError(aAddress, failure.message());
  }
  Accept(aLoop, *added);
  aLoop.mImpl->mListeners.push_back(std::move(added));
  return success{};
}

void StopListening(event_loop& aLoop)
{
  for (auto& each : aLoop.mImpl->mListeners) {
    failure_code ignored;
    each->mAcceptor.close(ignored);
  }
}

channel_id Connect(event_loop& aLoop, const std::string& aAddress,
                   const channel_options& aOptions, channel_handlers aHandlers)
{
  const channel_id id = aLoop.mImpl->mNextNumber++;
  auto added = std::make_unique<channel>(tcp::socket(aLoop.mImpl->mIo));
  added->mHandlers = std::move(aHandlers);
  channel& connecting = *added;
  aLoop.mImpl->mChannels[id] = std::move(added);
  tcp::endpoint endpoint;
  failure_code failure;
  if (ParseAddress(aAddress, endpoint)) {
    connecting.mSocket.open(endpoint.protocol(), failure);
  } else {
    failure = asio::error::invalid_argument;
  }
  if (!failure) {
    connecting.mSocket.non_blocking(true, failure);
  }
  if (failure) {
    // Reported later, so that the caller knows the id by then.
    Post(aLoop, [&aLoop, id] { Fail(aLoop, id, close_cause::NotConnected); });
    return id;
  }
  connecting.mConnectTimer =
    After(aLoop, aOptions.mConnectTimeout,
          [&aLoop, id] { Fail(aLoop, id, close_cause::NotConnected); });
  connecting.mSocket.async_connect(
    endpoint,
    [&aLoop, id, limit = aOptions.mSilenceLimit](const failure_code& aFailure) {
      Connected(aLoop, id, aFailure, limit);
    });
  return id;
}

void SetHandlers(event_loop& aLoop, channel_id aChannel,
                 channel_handlers aHandlers)
{
  if (channel* each = FindChannel(aLoop, aChannel)) {
    each->mHandlers = std::move(aHandlers);
  }
}

bool IsOpen(const event_loop& aLoop, channel_id aChannel)
{
  return FindChannel(aLoop, aChannel) != nullptr;
}

void Send(event_loop& aLoop, channel_id aChannel, std::string_view aBytes)
{
  channel* each = FindChannel(aLoop, aChannel);
  if (each == nullptr || aBytes.empty()) {
    return;
  }
  const bool idle = each->mUnsent.empty() && each->mConnected;
  if (idle) {
    failure_code failure;
    const std::size_t written = each->mSocket.write_some(
      asio::buffer(aBytes.data(), aBytes.size()), failure);
    each->mHasSent = each->mHasSent || written > 0;
    aBytes.remove_prefix(written);
    if (failure && !IsRetry(failure)) {
      // Reported from the loop: the sender is in the middle of its work.
      Post(aLoop,
           [&aLoop, aChannel] { Fail(aLoop, aChannel, close_cause::Broken); });
      return;
    }
  }
  each->mUnsent.append(aBytes.data(), aBytes.size());
  if (!each->mUnsent.empty()) {
    WaitToWrite(aLoop, aChannel);
  }
}

std::size_t UnsentOf(const event_loop& aLoop, channel_id aChannel)
{
  const channel* each = FindChannel(aLoop, aChannel);
  return each == nullptr ? 0 : each->mUnsent.size();
}

bool HasSent(const event_loop& aLoop, channel_id aChannel)
{
  const channel* each = FindChannel(aLoop, aChannel);
  return each != nullptr && each->mHasSent;
}

void MarkUnsent(event_loop& aLoop, channel_id aChannel)
{
  if (channel* each = FindChannel(aLoop, aChannel)) {
    each->mHasSent = false;
  }
}

void PauseReading(event_loop& aLoop, channel_id aChannel, bool aPaused)
{
  channel* each = FindChannel(aLoop, aChannel);
  if (each == nullptr || each->mPaused == aPaused) {
    return;
  }
  each->mPaused = aPaused;
  if (!aPaused) {
    WaitToRead(aLoop, aChannel);
  }
}

void Close(event_loop& aLoop, channel_id aChannel)
{
  const auto found = aLoop.mImpl->mChannels.find(aChannel);
  if (found == aLoop.mImpl->mChannels.end()) {
    return;
  }
  const auto closed = std::move(found->second);
  aLoop.mImpl->mChannels.erase(found);
  CancelTimer(aLoop, closed->mConnectTimer);
}

void CloseWhenDrained(event_loop& aLoop, channel_id aChannel)
{
  channel* each = FindChannel(aLoop, aChannel);
  if (each == nullptr) {
    return;
  }
  if (each->mUnsent.empty()) {
    Close(aLoop, aChannel);
    return;
  }
  each->mCloseWhenDrained = true;
}

std::uint64_t After(event_loop& aLoop, absl::Duration aDelay,
                    std::function<void()> aCallback)
{
  auto& impl = *aLoop.mImpl;
  const std::uint64_t number = impl.mNextNumber++;
  const absl::Time when = MonotonicNow() + aDelay;
  impl.mTimers[{ when, number }] = std::move(aCallback);
  impl.mTimerTimes[number] = when;
  ArmTimers(aLoop);
  return number;
}

void CancelTimer(event_loop& aLoop, std::uint64_t aTimer)
{
  auto& impl = *aLoop.mImpl;
  const auto found = impl.mTimerTimes.find(aTimer);
  if (found != impl.mTimerTimes.end()) {
    impl.mTimers.erase({ found->second, aTimer });
    impl.mTimerTimes.erase(found);
  }
}

void Post(event_loop& aLoop, std::function<void()> aCallback)
{
  asio::post(aLoop.mImpl->mIo, std::move(aCallback));
}

void RunLoop(event_loop& aLoop)
{
  const auto guard = asio::make_work_guard(aLoop.mImpl->mIo);
  aLoop.mImpl->mIo.run();
}

void StopLoop(event_loop& aLoop)
{
  aLoop.mImpl->mIo.stop();
}

} // namespace foxtailquay
