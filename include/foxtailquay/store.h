// The platform's key-value service as the core uses it: typed documents under
// versioned keys, read and written with compare-and-swap.
//
// The core issues `store_request` actions and receives `store_response` events.
// src/platform does the encoding and the I/O.

#ifndef FOXTAILQUAY_STORE_H
#define FOXTAILQUAY_STORE_H

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>

#include "foxtailquay/account.h"
#include "foxtailquay/claim.h"
#include "foxtailquay/config.h"
#include "foxtailquay/membership.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

// The kinds of documents.
enum class store_area
{
  Accounts,
  Claims,
  Config,
  Members,
};

constexpr auto NameTable(store_area)
{
  return MakeNameTable<store_area>({ { store_area::Accounts, "accounts" },
                                     { store_area::Claims, "claims" },
                                     { store_area::Config, "config" },
                                     { store_area::Members, "members" } });
}

// Key of one document. Its text form is "accounts/3". Config and members have
// shard 0 only.
struct store_key
{
  store_area mArea = store_area::Config;
  std::uint32_t mShard = 0;

  friend bool operator==(const store_key& aLeft, const store_key& aRight)
  {
    return std::tie(aLeft.mArea, aLeft.mShard) ==
           std::tie(aRight.mArea, aRight.mShard);
  }
  friend bool operator<(const store_key& aLeft, const store_key& aRight)
  {
    return std::tie(aLeft.mArea, aLeft.mShard) <
           std::tie(aRight.mArea, aRight.mShard);
  }
};

// Returns the text form of the key.
std::string ToString(const store_key& aKey);

// Any document.
using store_document =
  std::variant<account_shard, claim_shard, config_document, member_list>;

// A read, or a write that takes effect only if the key is at version mIfVersion
// (0: only if the key does not exist).
struct store_request
{
  store_key mKey;
  // The document to write; absent for a read.
  std::optional<store_document> mWrite;
  store_version mIfVersion = 0;
};

// Outcome of a store request.
enum class store_status
{
  // Read: mVersion and mDocument are set; version 0 without a document means
  // that the key does not exist. Write: it took effect as mVersion.
  Ok,
  // Write only: the key was at another version and nothing was written.
  Conflict,
  // The service did not accept the request and nothing was written.
  Unavailable,
  // No response. A write may have taken effect.
  Unknown,
};

constexpr auto NameTable(store_status)
{
  return MakeNameTable<store_status>(
    { { store_status::Ok, "ok" },
      { store_status::Conflict, "conflict" },
      { store_status::Unavailable, "unavailable" },
      { store_status::Unknown, "unknown" } });
}

// Response to a store_request.
struct store_response
{
  store_key mKey;
  // True if this responds to a write.
  bool mIsWrite = false;
  store_status mStatus = store_status::Unavailable;
  store_version mVersion = 0;
  std::optional<store_document> mDocument;
};

} // namespace foxtailquay

#endif
