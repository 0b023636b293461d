// Crashes of backend servers and what they may have been due to, as gateways
// report them to each other through the store. Plain values; see
// src/core/crash_quarantine.h for what follows from them.

#ifndef FOXTAILQUAY_CRASH_REPORT_H
#define FOXTAILQUAY_CRASH_REPORT_H

#include <cstdint>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "foxtailquay/name_table.h"

namespace foxtailquay {

// What the crash of a server shows about a request that it had, the weakest
// evidence first.
enum class crash_evidence
{
  // The server had sent output of the request: it may well have been sound.
  OutputSent,
  // No byte of the response had arrived: the request may only have waited.
  NoResponse,
  // The server had begun to respond to the request and sent no output.
  ResponseBegun,
};

constexpr auto NameTable(crash_evidence)
{
  return MakeNameTable<crash_evidence>(
    { { crash_evidence::OutputSent, "output_sent" },
      { crash_evidence::NoResponse, "no_response" },
      { crash_evidence::ResponseBegun, "response_begun" } });
}

// What requests have in common that may crash the servers that run them.
enum class suspect_kind
{
  // A part of their prompts.
  PromptPart,
  // All of it: they are the same request, which comes again.
  Request,
};

constexpr auto NameTable(suspect_kind)
{
  return MakeNameTable<suspect_kind>(
    { { suspect_kind::PromptPart, "prompt_part" },
      { suspect_kind::Request, "request" } });
}

struct suspect_id
{
  suspect_kind mKind = suspect_kind::PromptPart;
  std::uint64_t mHash = 0;
};

inline bool operator==(const suspect_id& aLeft, const suspect_id& aRight)
{
  return aLeft.mKind == aRight.mKind && aLeft.mHash == aRight.mHash;
}

inline bool operator<(const suspect_id& aLeft, const suspect_id& aRight)
{
  return std::tie(aLeft.mKind, aLeft.mHash) <
         std::tie(aRight.mKind, aRight.mHash);
}

template<typename H>
H AbslHashValue(H aState, const suspect_id& aSuspect)
{
  return H::combine(std::move(aState), aSuspect.mKind, aSuspect.mHash);
}

// A crash of a backend server under a suspect.
struct server_crash
{
  // Identifies the crashed incarnation of the server.
  std::string mIncarnation;
  crash_evidence mEvidence = crash_evidence::ResponseBegun;
};

inline bool operator==(const server_crash& aLeft, const server_crash& aRight)
{
  return aLeft.mIncarnation == aRight.mIncarnation &&
         aLeft.mEvidence == aRight.mEvidence;
}

// Crashes of backend servers under a suspect, as reported by one gateway.
struct crash_report
{
  suspect_id mSuspect;
  std::string mGateway;
  // Empty if the report was removed, or is to be removed.
  std::vector<server_crash> mCrashes;
};

} // namespace foxtailquay

#endif
