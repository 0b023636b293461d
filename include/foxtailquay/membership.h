// The member list: which router and agent processes exist, which incarnations
// are fenced, and how many members were lost without a graceful stop.
//
// The list is one value in the platform's store, changed by idempotent
// `member_op`s and compare-and-swap. Copies spread by gossip.
//
// A fence names a router incarnation that must not spend any more. It is
// complete once every witness, the members active when it was raised,
// has acknowledged that it accepts nothing from that incarnation and has
// handed over the usage records it holds. Only then is the incarnation's
// share of each budget closed.

#ifndef FOXTAILQUAY_MEMBERSHIP_H
#define FOXTAILQUAY_MEMBERSHIP_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "foxtailquay/account.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

enum class member_status
{
  Active,
  Leaving,
};

constexpr auto NameTable(member_status)
{
  return MakeNameTable<member_status>(
    { { member_status::Active, "active" },
      { member_status::Leaving, "leaving" } });
}

struct member_record
{
  process_role mRole = process_role::Router;
  incarnation_number mIncarnation = 0;
  zone_id mZone;
  // "IP:port" of the process's peer interface.
  std::string mAddress;
  member_status mStatus = member_status::Active;
  // Random text chosen by the process at start; recognizes its own join after
  // a lost answer.
  std::string mNonce;
};

struct fence_record
{
  process_id mFenced;
  // Loss epoch just before the fenced router itself was counted as lost. A
  // share that has noted this epoch has no usage record at a member lost
  // earlier; a witness lost later cannot acknowledge.
  std::uint64_t mLossEpoch = 0;
  // Members, with incarnations, whose acknowledgement is needed.
  std::map<member_id, incarnation_number> mAcknowledgers;
};

struct member_list
{
  std::map<member_id, member_record> mMembers;
  std::vector<fence_record> mFences;
  // Incremented when a member vanishes without a graceful stop: usage records
  // that it held may be lost.
  std::uint64_t mLossEpoch = 0;
  // Last incarnation per member id, also of members that have left.
  std::map<member_id, incarnation_number> mLastIncarnation;
  // Highest fencing number of the commands that an agent has passed on, also
  // of agents that have left: an engine that ignores the numbers remembers
  // nothing for them.
  std::map<member_id, std::uint64_t> mCommandFences;
};

// Adds the member with the next incarnation. A predecessor that did not leave
// is counted as lost and, if it was a router, fenced.
struct join_op
{
  member_id mMember;
  member_record mRecord; // mIncarnation is assigned
};

// Marks a member as leaving: it gets no new work.
struct mark_leaving_op
{
  process_id mProcess;
};

// Graceful stop: the member holds no share and no usage record any more.
struct leave_op
{
  process_id mProcess;
};

// Raises a fence against a router that is suspected to have failed.
struct raise_fence_op
{
  process_id mProcess;
};

// Removes a member whose VM is gone, counts it as lost, and fences a router.
struct remove_lost_op
{
  process_id mProcess;
};

// Removes a fence whose shares have all been closed.
struct finish_fence_op
{
  process_id mProcess;
};

// Records the fencing number of a command before an agent passes it on.
// Denied if the recorded number is higher.
struct command_fence_op
{
  process_id mProcess;
  std::uint64_t mFencingNumber = 0;
};

using member_op =
  std::variant<join_op, mark_leaving_op, leave_op, raise_fence_op,
               remove_lost_op, finish_fence_op, command_fence_op>;

op_outcome ApplyOp(member_list& aList, const member_op& aOp);

// True if aProcess may no longer act: it is fenced, or a newer incarnation of
// the same member has joined.
bool IsFenced(const member_list& aList, const process_id& aProcess);

// True if aProcess is another incarnation of a witness of aFenced's fence: it
// knows nothing of the usage records that the witness held.
bool IsSuccessorOfAcknowledger(const member_list& aList,
                               const process_id& aFenced,
                               const process_id& aProcess);

} // namespace foxtailquay

#endif
