// State and functions that routers and agents have in common: identity, process
// chart, member list and configuration, and the messages that distribute them.
//
// A node_core collects messages and store requests; the node's Step returns
// them as its actions. Only one thread at a time may use a node_core.

#ifndef FOXTAILQUAY_CORE_NODE_CORE_H
#define FOXTAILQUAY_CORE_NODE_CORE_H

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "commit.h"
#include "foxtailquay/router.h"
#include "node_charts.h"
#include "routing.h"

namespace foxtailquay {

using members_queue = commit_queue<member_list, member_op>;
using config_queue = commit_queue<config_document, config_patch>;

struct node_core
{
  node_settings mSettings;
  process_role mRole = process_role::Router;
  const node_charts* mCharts = nullptr;
  commit_options mCommitOptions;
  random_engine mRandom;

  process_status mStatus = process_status::Starting;
  // Incarnation 0 until the join is committed.
  process_id mSelf;
  // Joins submitted by this process: one at its start and one after each fence.
  int mJoinCount = 0;

  members_queue mMembersQueue;
  config_queue mConfigQueue;
  // Newest known versions, from the store or from peers. The version numbers
  // never decrease.
  member_list mMembers;
  store_version mMembersVersion = 0;
  config_document mConfig;
  // Last address of each present or former member. A fenced router is no longer
  // listed but still has to receive the member list with its fence.
  std::map<member_id, std::string> mAddresses;

  // Incarnations whose fence this process has acknowledged.
  std::set<process_id> mFenced;
  // Time of the last message from each member, and the time since which a
  // member has been unreachable.
  std::map<member_id, absl::Time> mLastMessageAt;
  std::map<member_id, absl::Time> mSuspectedSince;
  // Set when the configuration or member list has changed; the node then sends
  // the new version numbers to some members without waiting for the next
  // gossip.
  bool mHasUpdates = false;

  std::vector<send_action> mSends;
  std::vector<store_request> mStoreRequests;
};

node_core MakeNodeCore(const node_settings& aSettings, process_role aRole,
                       const node_charts& aCharts, absl::Duration aMinInterval);

// Queues a message to a present or former member. Does nothing if the member's
// address is unknown.
void Send(node_core& aNode, const member_id& aTo, message aBody);
// Returns the message with this process as the sender and its versions.
envelope MakeEnvelope(const node_core& aNode, message aBody);

// Submits a join for a new incarnation.
void SubmitJoin(node_core& aNode, absl::Time aNow);
// Returns true once the join is committed and the configuration has been read.
bool HasJoined(const node_core& aNode);

// Replaces the member list or configuration by a newer one. Older ones are
// ignored.
void AdoptMembers(node_core& aNode, const member_list& aList,
                  store_version aVersion);
void AdoptConfig(node_core& aNode, const config_document& aConfig);

// Handle responses of the store to the members and config queues. Return the
// operations that are now decided.
std::vector<pending_op<member_op>> OnMembersResponse(
  node_core& aNode, const store_response& aResponse, absl::Time aNow);
std::vector<pending_op<config_patch>> OnConfigResponse(
  node_core& aNode, const store_response& aResponse, absl::Time aNow);

// Moves due requests of the members and config queues to mStoreRequests.
void AdvanceQueues(node_core& aNode, absl::Time aNow);
absl::Time GetNextQueueWakeTime(const node_core& aNode);

// Records that the sender is reachable, and requests its configuration or
// member list if it is newer.
void RecordSender(node_core& aNode, const envelope& aEnvelope, absl::Time aNow);
// Handles the messages that distribute configuration and members. Returns false
// if the message is of another kind.
bool OnUpdateMessage(node_core& aNode, const envelope& aEnvelope);

// Returns true if this process was fenced or replaced according to the member
// list.
bool IsSelfFenced(const node_core& aNode);
// Returns true if aProcess is fenced or replaced according to the member list,
// or if this process has acknowledged its fence.
bool IsRefused(const node_core& aNode, const process_id& aProcess);

// Returns the active members of a role, without this process, in order of id.
std::vector<member_id> ListActiveMembers(const node_core& aNode,
                                         process_role aRole);
// Returns up to aCount different members of aFrom, chosen at random.
std::vector<member_id> ChooseRandom(node_core& aNode,
                                    std::vector<member_id> aFrom,
                                    std::size_t aCount);

} // namespace foxtailquay

#endif
