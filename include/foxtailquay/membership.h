// The member list: the router and agent processes that exist, the fenced
// incarnations, and the number of members lost without a graceful stop.
//
// The list is one value in the platform's store. It is changed by idempotent
// `member_op`s with compare-and-swap, and copies spread by gossip.
//
// A fence forbids one router incarnation to spend. It is complete when every
// acknowledger, that is every member that was active when the fence was raised,
// has confirmed that it accepts nothing from the incarnation and has handed
// over the usage records that it holds. Only then are the incarnation's shares
// closed.
//
// Pure functions on plain values; safe on any thread with distinct objects.

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

// Whether a member gets new work.
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

// One member.
struct member_record
{
  process_role mRole = process_role::Router;
  incarnation_number mIncarnation = 0;
  zone_id mZone;
  // "IP:port" of the process's peer interface.
  std::string mAddress;
  member_status mStatus = member_status::Active;
  // Random text that the process chose at its start. With it the
  // process recognizes its own join after the response was lost.
  std::string mNonce;
};

// One fence.
struct fence_record
{
  // The fenced router incarnation.
  process_id mFenced;
  // Loss epoch before the fenced router itself was counted as lost. For a share
  // that has recorded this epoch, members lost earlier hold no usage record; an
  // acknowledger lost later cannot acknowledge.
  std::uint64_t mLossEpoch = 0;
  // Members, with their incarnations, that must acknowledge the fence.
  std::map<member_id, incarnation_number> mAcknowledgers;
};

// The member list.
struct member_list
{
  std::map<member_id, member_record> mMembers;
  std::vector<fence_record> mFences;
  // Number of members that disappeared without a graceful stop. Usage records
  // that they held may be lost.
  std::uint64_t mLossEpoch = 0;
  // Last incarnation of each member id, also of members that have left.
  std::map<member_id, incarnation_number> mLastIncarnation;
  // Highest fencing number of the commands that each agent has forwarded, also
  // of agents that have left. It replaces the memory of engines that ignore
  // fencing numbers.
  std::map<member_id, std::uint64_t> mCommandFences;
};

// Adds the member with the next incarnation. An earlier incarnation that did
// not leave is counted as lost and, if it was a router, fenced.
struct join_op
{
  member_id mMember;
  member_record mRecord; // ApplyOp assigns mIncarnation
};

// Marks a member as leaving; it gets no new work.
struct mark_leaving_op
{
  process_id mProcess;
};

// Removes a member that stopped gracefully: it holds no share and no usage
// record.
struct leave_op
{
  process_id mProcess;
};

// Fences a router that is suspected to have failed.
struct raise_fence_op
{
  process_id mProcess;
};

// Removes a member whose VM no longer exists, counts it as lost and, if it was
// a router, fences it.
struct remove_lost_op
{
  process_id mProcess;
};

// Removes a fence whose shares are all closed.
struct finish_fence_op
{
  process_id mProcess;
};

// Records the fencing number of a command before the agent forwards the
// command. Denied if the recorded number is higher.
struct command_fence_op
{
  process_id mProcess;
  std::uint64_t mFencingNumber = 0;
};

// Any operation on the member list.
using member_op =
  std::variant<join_op, mark_leaving_op, leave_op, raise_fence_op,
               remove_lost_op, finish_fence_op, command_fence_op>;

// Applies aOp to aList.
op_outcome ApplyOp(member_list& aList, const member_op& aOp);

// Returns true if aProcess must not act any more: it is fenced, or a newer
// incarnation of the same member has joined.
bool IsFenced(const member_list& aList, const process_id& aProcess);

// Returns true if aProcess is a newer incarnation of an acknowledger of the
// fence on aFenced. It does not have the usage records that the acknowledger
// held.
bool IsSuccessorOfAcknowledger(const member_list& aList,
                               const process_id& aFenced,
                               const process_id& aProcess);

} // namespace foxtailquay

#endif
