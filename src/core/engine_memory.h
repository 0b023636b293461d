// Estimate of the tokens that an engine holds for open requests.
//
// An engine keeps the prompt and the output of each request that it runs or
// queues in a memory of fixed size, and crashes if they exceed it. A gateway
// counts the worst case, prompt and maximum output:
//
//   RecordHolding(memory, tokens);            // a request is being sent
//   ReleaseHolding(memory, tokens);           // its attempt has ended
//   RecordPeerHolding(memory, peer, tokens, now);  // another gateway reports
//   if (FitsMemory(view, query)) { ... }      // may be chosen
//
// Own requests are counted exactly. Other gateways state the sum of theirs at
// engines that may be tight, so that a lost report is corrected by the next
// one. An engine without a stated capacity has room for every request. Not
// thread-safe.

#ifndef FOXTAILQUAY_CORE_ENGINE_MEMORY_H
#define FOXTAILQUAY_CORE_ENGINE_MEMORY_H

#include <map>
#include <string>

#include "absl/time/time.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

struct backend_view;
struct routing_query;

// Interval at which a gateway states its holdings at tight engines again if
// they have not changed. If a fifth of the messages are lost, 6 of 24 simulated
// runs exceeded the capacity with 2 s, none with 1 s.
constexpr absl::Duration kHoldingInterval = absl::Seconds(1);
// Age up to which a statement counts completely. Several in a row may be lost:
// with 3 s, an interval of 2 s and 5% of the messages lost, 1 of 12 simulated
// runs exceeded the capacity, with 5 s none.
constexpr absl::Duration kHoldingValidity = absl::Seconds(5);
// Age up to which the load that an engine has stated is used.
constexpr absl::Duration kLoadValidity = absl::Seconds(3);
// Time in which an older statement halves. The requests of a gateway that is
// gone end with its connections.
constexpr absl::Duration kHoldingHalfLife = absl::Seconds(1);
// Time in which about as many tokens as are held are sent anew: a typical run
// of an engine. What is unknown grows with the age of an estimate at this rate.
constexpr absl::Duration kHoldingTime = absl::Seconds(2);

// Part of the capacity from which an engine counts as tight. Holdings are
// stated at tight engines only. It is low, so that the gateways state what they
// hold before an estimate that is too low by half does harm.
constexpr double kTightFraction = 0.5;

// What another gateway has stated to hold at an engine.
struct peer_holding
{
  token_count mTokens = 0;
  absl::Time mStatedAt = absl::InfinitePast();
  // True once it counts in engine_memory::mFadingTokens.
  bool mIsFading = false;
};

// The memory of one engine as known to one gateway.
struct engine_memory
{
  // Largest number of tokens that the engine can hold; 0 if it is not stated.
  token_count mCapacity = 0;
  // Tokens of this gateway's open requests.
  token_count mOwnTokens = 0;
  // Value and time of the last statement on mOwnTokens to other gateways.
  token_count mReportedTokens = 0;
  absl::Time mReportedAt = absl::InfinitePast();
  // Statements of other gateways that hold tokens, by name.
  std::map<std::string, peer_holding> mPeers;
  // Sum of the statements that count completely, and that of the older ones as
  // of mFadingAt. They are kept so that an estimate does not depend on the
  // number of gateways.
  token_count mStatedTokens = 0;
  double mFadingTokens = 0;
  absl::Time mFadingAt = absl::InfinitePast();
  // Time of the last statement of another gateway.
  absl::Time mStatedAt = absl::InfinitePast();
};

// Sizes of the recent requests to one service, in tokens, and the requests at
// its engines.
struct holding_sizes
{
  double mMean = 0;
  // Number of requests in mMean, up to kMeanRequests.
  int mRequests = 0;
  // Decays with kLargestHalfLife.
  double mLargest = 0;
  absl::Time mLargestAt = absl::InfinitePast();
  // Mean number of requests that the engines have stated recently.
  double mLoad = 0;
  absl::Time mLoadAt = absl::InfinitePast();
};

// What a request needs, and what an estimate depends on.
struct memory_need
{
  // Tokens that the request can hold; 0 if it needs no memory of an engine.
  token_count mTokens = 0;
  holding_sizes mSizes;
  // Number of other gateways.
  int mPeers = 0;
  absl::Time mNow = absl::InfinitePast();
};

// Adds the size of a request to the sizes.
void RecordSize(holding_sizes& aSizes, token_count aTokens, absl::Time aNow);
// Adds the number of requests that an engine has stated.
void RecordEngineLoad(holding_sizes& aSizes, int aRequests, absl::Time aNow);

void RecordHolding(engine_memory& aMemory, token_count aTokens);
void ReleaseHolding(engine_memory& aMemory, token_count aTokens);
// Records a statement of another gateway.
void RecordPeerHolding(engine_memory& aMemory, const std::string& aPeer,
                       token_count aTokens, absl::Time aNow);
// Has statements fade that are older than kHoldingValidity, and forgets those
// that no longer count. To be called several times in that time; until then,
// statements count completely.
void AdvancePeerHoldings(engine_memory& aMemory, absl::Time aNow);

// Returns the estimated number of tokens that the engine holds for all
// gateways: the own ones and, of two estimates of the others', the larger one.
// One adds their statements; the other takes the number of requests that the
// engine has stated.
double EstimateHeldTokens(const backend_view& aView, const memory_need& aNeed);

// Returns true if this gateway finds the engine tight. An engine that has not
// stated its load recently is taken to run as many requests as the others of
// its service. If those have not either, each of the other gateways is assumed
// to hold as much as this one, or as much more than it has stated: if an engine
// is tight, at least one gateway then finds it tight.
bool IsTight(const backend_view& aView, const memory_need& aNeed);

// Returns true if the engine has room for the request of the query with a
// margin. The margin covers requests of the largest recent size, which
// other gateways may send at the same time, and what the others may have sent
// since their last statement. An engine that holds nothing takes each request
// up to its capacity.
bool FitsMemory(const backend_view& aView, const routing_query& aQuery);

} // namespace foxtailquay

#endif
