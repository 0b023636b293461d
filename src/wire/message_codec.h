// Converts the messages between processes to and from JSON.
//
// The JSON object of an envelope holds the sender, the document versions that
// it has, and the message body. The kind of the message is the name of the
// JSON-RPC method. message_fields.h lists the fields.
//
// Decoding is strict: an unknown or missing field is an error. Pure functions;
// safe on any thread.

#ifndef FOXTAILQUAY_WIRE_MESSAGE_CODEC_H
#define FOXTAILQUAY_WIRE_MESSAGE_CODEC_H

#include <variant>

#include "foxtailquay/messages.h"
#include "foxtailquay/result.h"
#include "json/json.h"

namespace foxtailquay {

// The alternatives of the variant `message`, in its order. The names are the
// JSON-RPC methods.
enum class message_kind
{
  Gossip,
  FetchConfig,
  Config,
  FetchMembers,
  Members,
  UsageReport,
  UsageAck,
  RaiseFence,
  FenceAck,
  RequestTransfer,
  TransferShare,
  HandOver,
  HandOverAck,
  CommitOps,
  CommitResult,
};

constexpr auto NameTable(message_kind)
{
  using k = message_kind;
  return MakeNameTable<k>({ { k::Gossip, "gossip" },
                            { k::FetchConfig, "fetch_config" },
                            { k::Config, "config" },
                            { k::FetchMembers, "fetch_members" },
                            { k::Members, "members" },
                            { k::UsageReport, "usage_report" },
                            { k::UsageAck, "usage_ack" },
                            { k::RaiseFence, "raise_fence" },
                            { k::FenceAck, "fence_ack" },
                            { k::RequestTransfer, "request_transfer" },
                            { k::TransferShare, "transfer_share" },
                            { k::HandOver, "hand_over" },
                            { k::HandOverAck, "hand_over_ack" },
                            { k::CommitOps, "commit_ops" },
                            { k::CommitResult, "commit_result" } });
}

static_assert(CountEnumerators<message_kind>() == std::variant_size_v<message>,
              "each message needs a message_kind");

message_kind GetMessageKind(const message& aMessage);

Json::Value ToJson(const envelope& aEnvelope);
// Errors: ProtocolViolation with the path of the invalid field.
result<envelope> EnvelopeFromJson(message_kind aKind, const Json::Value& aJson);

} // namespace foxtailquay

#endif
