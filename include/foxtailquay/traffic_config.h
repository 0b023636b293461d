// The configuration of a gateway: routes, services, workspaces and limits of
// one version, and an index to find them.
//
//   route_table table = BuildRouteTable(config);
//   const traffic_route* route = FindRoute(table, host, path);
//   const traffic_workspace* payer = FindWorkspace(table, key);
//
// A table is immutable after BuildRouteTable and may be read from any thread.
// FindRoute takes time proportional to the number of routes of the host; the
// other lookups take constant time on average.

#ifndef FOXTAILQUAY_TRAFFIC_CONFIG_H
#define FOXTAILQUAY_TRAFFIC_CONFIG_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/name_table.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

// Whether a call may be repeated, and the form of its response.
enum class call_kind
{
  Idempotent,
  NonIdempotent,
  // The response is a series of events. It is repeatable only if the route is
  // resumable.
  Stream,
};

constexpr auto NameTable(call_kind)
{
  return MakeNameTable<call_kind>(
    { { call_kind::Idempotent, "idempotent" },
      { call_kind::NonIdempotent, "non_idempotent" },
      { call_kind::Stream, "stream" } });
}

// A service and its weight among the services of a route.
struct weighted_service
{
  service_id mService;
  double mWeight = 0;
};

// One route: the requests with a host and path prefix, and the services that
// execute them.
struct traffic_route
{
  std::string mName;
  std::string mHost;
  // Begins and ends with a slash.
  std::string mPathPrefix;
  call_kind mKind = call_kind::NonIdempotent;
  // True if a broken stream may continue on another backend server.
  bool mResumable = false;
  // True if requests need no API key.
  bool mPublic = false;
  // Longest time from the request to the end of its response.
  absl::Duration mTimeout = absl::Seconds(10);
  // Latency objective: time to the response or to the first event.
  absl::Duration mObjective = absl::Seconds(1);
  // Longest pause between the events of a stream that meets its objective.
  absl::Duration mGapObjective = absl::Milliseconds(500);
  // Largest number of backend servers to which one request may be sent.
  int mMaxAttempts = 1;
  // 0 is the highest priority.
  int mPriority = 0;
  std::vector<weighted_service> mServices;
};

// One service.
struct traffic_service
{
  service_id mId;
  // Largest number of connections of one gateway to one backend server.
  int mMaxConnections = 0;
  // True for model engines, which batch requests and cache prompts.
  bool mIsEngine = false;
  // Number of requests that one backend server runs at the same time.
  int mSlots = 0;
  // Largest number of tokens in one event of a stream.
  token_count mTokensPerEvent = 1;
  // Time for which a backend server is cold after its start, and the requests a
  // second that a cold one bears from all gateways together; a rate of 0 means
  // no limit.
  absl::Duration mColdTime = absl::ZeroDuration();
  double mColdRate = 0;
  // Largest number of tokens, prompts and outputs, that one engine can hold for
  // its open requests; 0 if it is not stated.
  token_count mMemoryTokens = 0;
};

// One workspace.
struct traffic_workspace
{
  workspace_id mId;
  // API keys.
  std::vector<std::string> mKeys;
  // If set, replaces the priority of the route.
  std::optional<int> mPriority;
  // Tokens that the workspace may consume in total; absent means no limit.
  std::optional<token_count> mPrepaid;
};

// Limits on callers' connections.
struct caller_limits
{
  std::size_t mMaxHeaderBytes = 16384;
  std::size_t mMaxBodyBytes = 4194304;
  absl::Duration mHeaderTimeout = absl::Seconds(3);
  // Time after which an idle connection is closed.
  absl::Duration mIdleTimeout = absl::Seconds(15);
};

// The configuration at one version.
struct traffic_config
{
  config_version mVersion = 0;
  std::vector<traffic_route> mRoutes;
  std::vector<traffic_service> mServices;
  std::vector<traffic_workspace> mWorkspaces;
  caller_limits mLimits;
};

// A configuration and its index.
struct route_table
{
  traffic_config mConfig;
  // Indices into mConfig.mRoutes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> mByHost;
  // Index into mConfig.mWorkspaces by API key.
  std::unordered_map<std::string, std::size_t> mByKey;
  // Index into mConfig.mServices by service id.
  std::unordered_map<std::string, std::size_t> mByService;
};

// Returns the configuration with its index.
route_table BuildRouteTable(traffic_config aConfig);

// Returns the route of aHost with the longest prefix of aPath, or null. A port
// in aHost is ignored. Precondition: aPath has no query.
const traffic_route* FindRoute(const route_table& aTable,
                               std::string_view aHost, std::string_view aPath);

// Returns the workspace that owns aKey, or null.
const traffic_workspace* FindWorkspace(const route_table& aTable,
                                       const std::string& aKey);

// Returns the service, or null.
const traffic_service* FindService(const route_table& aTable,
                                   const service_id& aService);

// Returns true if a request of the route may be executed more than once.
bool IsRepeatable(const traffic_route& aRoute);

} // namespace foxtailquay

#endif
