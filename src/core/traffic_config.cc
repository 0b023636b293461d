// Look-ups in the gateway's traffic configuration.

#include "foxtailquay/traffic_config.h"

#include <algorithm>

#include "absl/strings/ascii.h"

namespace foxtailquay {

namespace {

// Returns the host name in lower case and without the port: hosts are compared
// in this form.
std::string ToHostKey(std::string_view aHost)
{
  const auto colon = aHost.find(':');
  return absl::AsciiStrToLower(
    absl::string_view(aHost.data(), std::min(colon, aHost.size())));
}

bool StartsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

} // namespace

route_table BuildRouteTable(traffic_config aConfig)
{
  route_table table;
  table.mConfig = std::move(aConfig);
  const auto& routes = table.mConfig.mRoutes;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    table.mByHost[ToHostKey(routes[i].mHost)].push_back(i);
  }
  // FindRoute returns the first match, so longer prefixes come first.
  for (auto& host : table.mByHost) {
    std::stable_sort(host.second.begin(), host.second.end(),
                     [&routes](std::size_t aLeft, std::size_t aRight) {
                       return routes[aLeft].mPathPrefix.size() >
                              routes[aRight].mPathPrefix.size();
                     });
  }
  const auto& workspaces = table.mConfig.mWorkspaces;
  for (std::size_t i = 0; i < workspaces.size(); ++i) {
    for (const std::string& key : workspaces[i].mKeys) {
      table.mByKey[key] = i;
    }
  }
  const auto& services = table.mConfig.mServices;
  for (std::size_t i = 0; i < services.size(); ++i) {
    table.mByService[services[i].mId.mValue] = i;
  }
  return table;
}

const traffic_route* FindRoute(const route_table& aTable,
                               std::string_view aHost, std::string_view aPath)
{
  const auto host = aTable.mByHost.find(ToHostKey(aHost));
  if (host == aTable.mByHost.end()) {
    return nullptr;
  }
  for (std::size_t index : host->second) {
    const traffic_route& route = aTable.mConfig.mRoutes[index];
    if (StartsWith(aPath, route.mPathPrefix)) {
      return &route;
    }
  }
  return nullptr;
}

const traffic_workspace* FindWorkspace(const route_table& aTable,
                                       const std::string& aKey)
{
  const auto found = aTable.mByKey.find(aKey);
  return found == aTable.mByKey.end()
           ? nullptr
           : &aTable.mConfig.mWorkspaces[found->second];
}

const traffic_service* FindService(const route_table& aTable,
                                   const service_id& aService)
{
  const auto found = aTable.mByService.find(aService.mValue);
  return found == aTable.mByService.end()
           ? nullptr
           : &aTable.mConfig.mServices[found->second];
}

bool IsRepeatable(const traffic_route& aRoute)
{
  return aRoute.mKind == call_kind::Idempotent ||
         (aRoute.mKind == call_kind::Stream && aRoute.mResumable);
}

} // namespace foxtailquay
