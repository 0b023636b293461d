#include "daemon/node_io.h"

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "wire/key_check.h"

namespace foxtailquay {

namespace {

store_response PerformStoreCall(node_io& aIo, const store_request& aRequest)
{
  const absl::Time startedAt = MonotonicNow();
  error problem;
  store_response response = CallStore(*aIo.mStore, aRequest, &problem);
  IncrementCounter(aIo.mMetrics, counter::StoreCalls);
  Observe(aIo.mMetrics, histogram::StoreCall, MonotonicNow() - startedAt);
  const bool failed = response.mStatus == store_status::Unavailable ||
                      response.mStatus == store_status::Unknown;
  if (failed) {
    IncrementCounter(aIo.mMetrics, counter::StoreFailures);
  }
  Log(log_component::Store, failed ? log_level::Warn : log_level::Debug,
      failed ? log_event::StoreFailed : log_event::StoreCalled,
      { { "key", ToString(aRequest.mKey) },
        { "write", aRequest.mWrite ? "true" : "false" },
        { "status", std::string(ToName(response.mStatus)) },
        { "problem", failed ? ToString(problem) : "none" } });
  return response;
}

error MakeChartsDirError(const std::string& aDir)
{
  return error{ error_code::InvalidSetting, executed::No, "--charts_dir",
                absl::StrCat("\"", aDir,
                             "\" is not valid: it must be the "
                             "folder of the state charts"),
                absl::ZeroDuration() };
}

} // namespace

node_io::node_io(const daemon_settings& aSettings,
                 const node_io_options& aOptions, metrics& aMetrics,
                 std::function<void(const member_id&)> aOnUnreachable)
  : mMetrics(aMetrics)
  , mStore(MakeStoreClient(ToString(aSettings.mStore), aOptions.mStoreTimeout))
  , mStorePool({ "store", aOptions.mStoreThreads, aOptions.mStoreQueue,
                 absl::Seconds(10) })
  , mSender(peer_sender_options{ { aSettings.mPeerKey,
                                   absl::Seconds(1),   // to connect
                                   absl::Seconds(3) }, // for the response
                                 16,                   // threads
                                 1024,                 // queued peers
                                 64, // queued messages per peer
                                 absl::Seconds(20) }, // idle connection
            aMetrics, std::move(aOnUnreachable))
{}

void StartStoreCall(node_io& aIo, store_request aRequest,
                    const store_callback& aOnResponse)
{
  store_response unavailableResponse;
  unavailableResponse.mKey = aRequest.mKey;
  unavailableResponse.mIsWrite = aRequest.mWrite.has_value();
  unavailableResponse.mStatus = store_status::Unavailable;
  const bool submitted = TrySubmit(
    aIo.mStorePool, [&aIo, request = std::move(aRequest), aOnResponse] {
      aOnResponse(PerformStoreCall(aIo, request));
    });
  if (!submitted) {
    aOnResponse(std::move(unavailableResponse));
  }
}

void StopIo(node_io& aIo)
{
  StopTimer(aIo.mTimer);
  StopPool(aIo.mStorePool);
  StopSender(aIo.mSender);
}

result<std::map<std::string, std::string>> ReadChartTexts(
  const std::string& aDir)
{
  std::error_code failure;
  std::map<std::string, std::string> texts;
  for (const auto& entry : std::filesystem::directory_iterator(aDir, failure)) {
    if (entry.path().extension() == ".yaml") {
      std::ifstream file(entry.path());
      std::stringstream text;
      text << file.rdbuf();
      texts[entry.path().filename().string()] = text.str();
    }
  }
  if (failure || texts.empty()) {
    return MakeChartsDirError(aDir);
  }
  return texts;
}

result<node_charts_ptr> ReadCharts(const std::string& aDir)
{
  auto texts = ReadChartTexts(aDir);
  if (!IsOk(texts)) {
    return GetError(texts);
  }
  return LoadCharts(GetValue(texts));
}

http_server_options MakePeerServerOptions(const daemon_settings& aSettings)
{
  http_server_options options;
  options.mName = "peers";
  options.mIp = aSettings.mPeerListen.mIp;
  options.mPort = aSettings.mPeerListen.mPort;
  options.mMaxConnections = aSettings.mMaxConnections;
  // A dispatch contains a caller's body, which JSON escapes can make longer. A
  // member list or configuration is at most as large as a store value.
  options.mMaxBodyBytes = 2 * aSettings.mMaxBodyBytes + (2 << 20);
  // Each idle connection occupies a thread, and most peers connect rarely.
  options.mIdleTimeout = absl::Seconds(15);
  return options;
}

node_settings MakeNodeSettings(const daemon_settings& aSettings)
{
  node_settings settings;
  settings.mMember.mValue = aSettings.mMember;
  settings.mZone.mValue = aSettings.mZone;
  settings.mAddress = ToString(aSettings.mPeerListen);
  settings.mNonce = MakeRandomHex(16);
  settings.mSeed = std::random_device{}();
  return settings;
}

} // namespace foxtailquay
