// Identifiers and units that all modules use.
//
// Amounts are whole tokens after pricing (`token_count`). Points in time and
// durations are absl::Time and absl::Duration. Each identifier has a type of
// its own, so that a workspace cannot be passed in place of a budget.

#ifndef FOXTAILQUAY_TYPES_H
#define FOXTAILQUAY_TYPES_H

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "foxtailquay/name_table.h"
#include "foxtailquay/result.h"

namespace foxtailquay {

// Amount in budget tokens.
using token_count = std::int64_t;
// Largest amount that is computed with. Counts from outside are lowered to it,
// so that a sum of two is far from the end of the type's range.
constexpr token_count kMaxTokenCount = token_count{ 1 } << 53;

// Returns the sum, at most kMaxTokenCount. Preconditions: neither count is
// negative. Thread-safe.
constexpr token_count AddTokens(token_count aLeft, token_count aRight)
{
  return aLeft >= kMaxTokenCount || aRight >= kMaxTokenCount - aLeft
           ? kMaxTokenCount
           : aLeft + aRight;
}

// Returns the product, at most kMaxTokenCount. Preconditions: neither factor is
// negative. Thread-safe.
constexpr token_count MultiplyTokens(token_count aTokens, std::int64_t aFactor)
{
  return aFactor != 0 && aTokens > kMaxTokenCount / aFactor ? kMaxTokenCount
                                                            : aTokens * aFactor;
}

// Number of a process start, allocated from the member list; a higher one is
// newer.
using incarnation_number = std::uint64_t;
// Version of a store value; 0 means that the key does not exist.
using store_version = std::uint64_t;
// Number of a continuous history of the store, which rises when the store
// returns to an older state. Versions of different eras are not comparable.
// 0: the store has not stated one.
using store_era = std::uint64_t;
// Version of the configuration document; 0 means that none is known.
using config_version = std::uint64_t;
// Identifies one caller request within one process.
using request_handle = std::uint64_t;

// An identifier in text form. Tag distinguishes the types.
template<typename Tag>
struct text_id
{
  std::string mValue;

  friend bool operator==(const text_id& aLeft, const text_id& aRight)
  {
    return aLeft.mValue == aRight.mValue;
  }
  friend bool operator!=(const text_id& aLeft, const text_id& aRight)
  {
    return !(aLeft == aRight);
  }
  friend bool operator<(const text_id& aLeft, const text_id& aRight)
  {
    return aLeft.mValue < aRight.mValue;
  }
};

using workspace_id = text_id<struct workspace_tag>;
using budget_id = text_id<struct budget_tag>;
using model_id = text_id<struct model_tag>;
using service_id = text_id<struct service_tag>;
// Name of a router or agent process, unchanged by restarts.
using member_id = text_id<struct member_tag>;
// Name of a backend server. The member_id of its agent has the same text.
using backend_id = text_id<struct backend_tag>;
// An availability zone, for example "ahmedabad-1".
using zone_id = text_id<struct zone_tag>;

// One incarnation of a process.
struct process_id
{
  member_id mMember;
  incarnation_number mIncarnation = 0;

  friend bool operator==(const process_id& aLeft, const process_id& aRight)
  {
    return std::tie(aLeft.mMember, aLeft.mIncarnation) ==
           std::tie(aRight.mMember, aRight.mIncarnation);
  }
  friend bool operator!=(const process_id& aLeft, const process_id& aRight)
  {
    return !(aLeft == aRight);
  }
  friend bool operator<(const process_id& aLeft, const process_id& aRight)
  {
    return std::tie(aLeft.mMember, aLeft.mIncarnation) <
           std::tie(aRight.mMember, aRight.mIncarnation);
  }
};

// The part of a budget that one router incarnation may spend.
struct share_id
{
  budget_id mBudget;
  process_id mHolder;

  friend bool operator==(const share_id& aLeft, const share_id& aRight)
  {
    return std::tie(aLeft.mBudget, aLeft.mHolder) ==
           std::tie(aRight.mBudget, aRight.mHolder);
  }
  friend bool operator<(const share_id& aLeft, const share_id& aRight)
  {
    return std::tie(aLeft.mBudget, aLeft.mHolder) <
           std::tie(aRight.mBudget, aRight.mHolder);
  }
};

// One billed run: the use number mNumber of a share. Each dispatch attempt has
// its own id, so that a retry and the attempt before it have different usage
// records.
struct request_id
{
  share_id mShare;
  std::uint64_t mNumber = 0;

  friend bool operator==(const request_id& aLeft, const request_id& aRight)
  {
    return std::tie(aLeft.mShare, aLeft.mNumber) ==
           std::tie(aRight.mShare, aRight.mNumber);
  }
  friend bool operator<(const request_id& aLeft, const request_id& aRight)
  {
    return std::tie(aLeft.mShare, aLeft.mNumber) <
           std::tie(aRight.mShare, aRight.mNumber);
  }
};

// Return the text form. That of a request_id is
// "budget/router/incarnation/number". Identifiers must not contain '/', which
// CheckConfig enforces.
std::string ToString(const process_id& aProcess);
std::string ToString(const share_id& aShare);
std::string ToString(const request_id& aRequest);
// Parses the text form of a request_id.
result<request_id> ParseRequestId(std::string_view aText);

// Role of a process.
enum class process_role
{
  Router,
  Agent,
  // Serves callers on the users' platform.
  Gateway,
};

constexpr auto NameTable(process_role)
{
  return MakeNameTable<process_role>({ { process_role::Router, "router" },
                                       { process_role::Agent, "agent" },
                                       { process_role::Gateway, "gateway" } });
}

// Scheduling class of a request, highest priority first.
enum class priority_class
{
  Interactive,
  Standard,
  Batch,
};

constexpr auto NameTable(priority_class)
{
  return MakeNameTable<priority_class>(
    { { priority_class::Interactive, "interactive" },
      { priority_class::Standard, "standard" },
      { priority_class::Batch, "batch" } });
}

// What marks the end of a message's body.
enum class body_framing
{
  // The header section is not complete yet.
  Unknown,
  // A stated length, or the absence of a body.
  Length,
  // The last chunk.
  Chunks,
  // The end of the connection.
  ConnectionEnd,
};

constexpr auto NameTable(body_framing)
{
  using f = body_framing;
  return MakeNameTable<f>({ { f::Unknown, "unknown" },
                            { f::Length, "length" },
                            { f::Chunks, "chunks" },
                            { f::ConnectionEnd, "connection_end" } });
}

// Tokens that a run used.
struct token_usage
{
  token_count mPromptTokens = 0;
  token_count mCompletionTokens = 0;
};

// Cost of a run. The router and the agent keep it until it is committed.
struct usage_record
{
  request_id mRequest;
  token_usage mUsage;
  token_count mCost = 0;
};

} // namespace foxtailquay

#endif
