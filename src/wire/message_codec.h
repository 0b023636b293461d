// JSON forms of the messages between processes.
//
// An envelope's JSON holds the sender, the versions it knows and the message
// body; the kind of the message is the JSON-RPC method that carries it. The
// fields are in message_fields.h.
// Decoders are strict: an unknown or missing field is an error.

#ifndef FOXTAILQUAY_WIRE_MESSAGE_CODEC_H
#define FOXTAILQUAY_WIRE_MESSAGE_CODEC_H

#include <variant>

#include "foxtailquay/messages.h"
#include "foxtailquay/result.h"
#include "json/json.h"

namespace foxtailquay {

// In the order of the `message` variant. The names are the JSON-RPC methods.
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
              "each message needs a kind");

message_kind GetMessageKind(const message& aMessage);

Json::Value ToJson(const envelope& aEnvelope);
// Errors: ProtocolViolation with the path of the field.
result<envelope> EnvelopeFromJson(message_kind aKind, const Json::Value& aJson);

} // namespace foxtailquay

#endif
