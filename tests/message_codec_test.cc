// Tests the encoding of messages, dispatches and frames. Guards against values
// that change between processes: a field that is not encoded, a frame that is
// decoded as another one, and bytes that JSON strings cannot hold.

#define BOOST_TEST_MODULE message_codec
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "document_generators.h"
#include "wire/document_codec.h"
#include "wire/error_codec.h"
#include "wire/message_codec.h"
#include "wire/run_codec.h"

namespace foxtailquay {

// Compares account operations by their JSON; document_codec_test.cc tests that
// JSON. Overloads are needed because std::variant and std::pair appear to have
// operator== even if their element types do not.
inline bool IsSame(const account_op& aLeft, const account_op& aRight)
{
  return ToText(ToJson(aLeft)) == ToText(ToJson(aRight));
}

inline bool IsSame(const std::pair<std::uint64_t, account_op>& aLeft,
                   const std::pair<std::uint64_t, account_op>& aRight)
{
  return aLeft.first == aRight.first && IsSame(aLeft.second, aRight.second);
}

#define SAME_1(Type)                                                           \
  inline bool HasSameMembers(const Type& aLeft, const Type& aRight)            \
  {                                                                            \
    const auto& [a] = aLeft;                                                   \
    const auto& [b] = aRight;                                                  \
    return IsSame(a, b);                                                       \
  }
#define SAME_2(Type)                                                           \
  inline bool HasSameMembers(const Type& aLeft, const Type& aRight)            \
  {                                                                            \
    const auto& [a, b] = aLeft;                                                \
    const auto& [c, d] = aRight;                                               \
    return IsSame(a, c) && IsSame(b, d);                                       \
  }
#define SAME_0(Type)                                                           \
  inline bool HasSameMembers(const Type&, const Type&)                         \
  {                                                                            \
    return true;                                                               \
  }

SAME_2(token_usage)
SAME_3(usage_record)
SAME_3(transfer_op)
SAME_7(load_report)
SAME_4(gossip_message)
SAME_0(fetch_config_message)
SAME_1(config_message)
SAME_0(fetch_members_message)
SAME_2(members_message)
SAME_1(usage_report_message)
SAME_1(usage_ack_message)
SAME_1(fence_query_message)
SAME_3(fence_ack_message)
SAME_2(transfer_request_message)
SAME_1(transfer_message)
SAME_2(hand_over_message)
SAME_0(hand_over_ack_message)
SAME_3(commit_ops_message)
SAME_6(commit_result_message)

namespace {

template<typename T>
const T& GetValueOrFail(const result<T>& aResult)
{
  if (!IsOk(aResult)) {
    RC_FAIL(ToString(GetError(aResult)));
  }
  return GetValue(aResult);
}

request_id AnyRequest()
{
  return { { { AnyId() }, AnyProcess() }, AnyNumber() };
}

usage_record AnyRecord()
{
  return { AnyRequest(), { AnyCount(), AnyCount() }, AnyCount() };
}

transfer_op AnyTransfer()
{
  return { AnyRequest(), AnyProcess(), AnyCount() };
}

account_op AnyOp()
{
  if (AnyBool()) {
    return AnyTransfer();
  }
  return grant_op{
    { { AnyId() }, AnyProcess() }, AnyNumber(), AnyCount(), AnyCount(), AnyInt()
  };
}

load_report AnyLoad()
{
  return { { AnyId() },
           AnyNumber(),
           AnyInt(),
           AnyInt(),
           AnyBool(),
           AnyVector(&AnyNumber),
           AnyVector(&AnyTypedId<model_id>) };
}

store_key AnyKey()
{
  return { AnyEnum<store_area>(), *rc::gen::arbitrary<std::uint32_t>() };
}

message AnyMessage(message_kind aKind)
{
  switch (aKind) {
    case message_kind::Gossip:
      return gossip_message{ AnyVector(&AnyLoad), AnyVector(&AnyProcess),
                             AnyVector(&AnyProcess), AnyBool() };
    case message_kind::FetchConfig:
      return fetch_config_message{};
    case message_kind::Config:
      return config_message{ AnyConfig() };
    case message_kind::FetchMembers:
      return fetch_members_message{};
    case message_kind::Members:
      return members_message{ AnyNumber(), AnyMembers() };
    case message_kind::UsageReport:
      return usage_report_message{ AnyVector(&AnyRecord) };
    case message_kind::UsageAck:
      return usage_ack_message{ AnyVector(&AnyRequest) };
    case message_kind::RaiseFence:
      return fence_query_message{ AnyProcess() };
    case message_kind::FenceAck:
      return fence_ack_message{ AnyProcess(), AnyVector(&AnyRecord),
                                AnyVector(&AnyTransfer) };
    case message_kind::RequestTransfer:
      return transfer_request_message{ { AnyId() }, AnyCount() };
    case message_kind::TransferShare:
      return transfer_message{ AnyTransfer() };
    case message_kind::HandOver:
      return hand_over_message{ AnyVector(&AnyOp), AnyVector(&AnyTransfer) };
    case message_kind::HandOverAck:
      return hand_over_ack_message{};
    case message_kind::CommitOps:
      return commit_ops_message{ AnyKey(), AnyNumber(), AnyVector([] {
                                   return std::make_pair(AnyNumber(), AnyOp());
                                 }) };
    case message_kind::CommitResult:
      return commit_result_message{
        AnyKey(),
        AnyNumber(),
        AnyNumber(),
        AnyBool(),
        AnyVector(
          [] { return std::make_pair(AnyNumber(), AnyEnum<op_outcome>()); }),
        AnyMap(&AnyTypedId<budget_id>, &AnyAccount)
      };
  }
  return {};
}

envelope AnyEnvelope(message_kind aKind)
{
  return { AnyProcess(), AnyEnum<process_role>(), AnyNumber(), AnyNumber(),
           AnyMessage(aKind) };
}

bool HasSameHeader(const envelope& aLeft, const envelope& aRight)
{
  return aLeft.mSender == aRight.mSender && aLeft.mRole == aRight.mRole &&
         aLeft.mConfigVersion == aRight.mConfigVersion &&
         aLeft.mMembersVersion == aRight.mMembersVersion;
}

BOOST_AUTO_TEST_CASE(all_messages_round_trip)
{
  for (const auto& entry : NameTable(message_kind{})) {
    BOOST_TEST(rc::check(std::string(entry.mName), [&entry] {
      const envelope sent = AnyEnvelope(entry.mValue);
      const auto json = ParseJson(ToText(ToJson(sent)));
      const auto received =
        EnvelopeFromJson(entry.mValue, GetValueOrFail(json));
      RC_ASSERT(HasSameHeader(GetValueOrFail(received), sent));
      RC_ASSERT(GetMessageKind(GetValue(received).mBody) == entry.mValue);
      RC_ASSERT(std::visit(
        [&received](const auto& aBody) {
          using type = std::decay_t<decltype(aBody)>;
          return IsSame(aBody, std::get<type>(GetValue(received).mBody));
        },
        sent.mBody));
    }));
  }
}

// A receiver that ignored an unknown field would lose information that the
// sender relies on, and one that accepted a missing field would use zero.
BOOST_AUTO_TEST_CASE(unknown_and_missing_fields_are_rejected)
{
  const envelope sent{ { { "r1" }, 1 },
                       process_role::Router,
                       2,
                       3,
                       transfer_request_message{ { "b" }, 5 } };
  const auto expectError = [](const Json::Value& aJson, const char* aField) {
    const auto decoded = EnvelopeFromJson(message_kind::RequestTransfer, aJson);
    BOOST_REQUIRE(!IsOk(decoded));
    BOOST_TEST(GetError(decoded).mField == aField);
  };
  Json::Value json = ToJson(sent);
  json["extra"] = 1;
  expectError(json, "extra");
  json = ToJson(sent);
  json["body"].removeMember("want");
  expectError(json, "body.want");
  json = ToJson(sent);
  json["body"]["want"] = "5";
  expectError(json, "body.want");
  json = ToJson(sent);
  json.removeMember("body");
  expectError(json, "body");
  BOOST_TEST(!IsOk(EnvelopeFromJson(message_kind::CommitOps, ToJson(sent))));
}

run_request AnyRun()
{
  run_request run;
  run.mRequest = AnyRequest();
  run.mBackend = { AnyId() };
  run.mKind = AnyEnum<backend_kind>();
  run.mTarget = AnyText();
  run.mConfigVersion = AnyNumber();
  run.mMaxTokens = AnyCount();
  run.mMaxPromptTokens = AnyCount();
  run.mPromptPrice = AnyCount();
  run.mCompletionPrice = AnyCount();
  run.mCallPrice = AnyCount();
  run.mPriority = AnyEnum<priority_class>();
  run.mTimeout = AnyDuration();
  run.mMethod = AnyText();
  run.mPath = AnyText();
  run.mContentType = AnyText();
  run.mBody = AnyBytes();
  run.mStream = AnyBool();
  return run;
}

bool IsSameRun(const run_request& aLeft, const run_request& aRight)
{
  const auto& [a, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p, q] = aLeft;
  const auto& [a2, b2, c2, d2, e2, f2, g2, h2, i2, j2, k2, l2, m2, n2, o2, p2,
               q2] = aRight;
  return std::tie(a, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p, q) ==
         std::tie(a2, b2, c2, d2, e2, f2, g2, h2, i2, j2, k2, l2, m2, n2, o2,
                  p2, q2);
}

BOOST_AUTO_TEST_CASE(dispatches_round_trip)
{
  BOOST_TEST(rc::check("decode(encode(dispatch)) == dispatch", [] {
    const run_dispatch sent{ AnyEnvelope(message_kind::FetchConfig), AnyRun() };
    const auto received = DecodeDispatch(EncodeDispatch(sent));
    RC_ASSERT(HasSameHeader(GetValueOrFail(received).mHeader, sent.mHeader));
    RC_ASSERT(IsSameRun(GetValue(received).mRun, sent.mRun));
  }));
}

run_frame AnyFrame()
{
  run_frame frame;
  frame.mNumber = AnyNumber();
  frame.mType = AnyEnum<frame_type>();
  switch (frame.mType) {
    case frame_type::Head:
      frame.mRequest = AnyText();
      frame.mStatus = AnyInt();
      frame.mContentType = AnyText();
      break;
    case frame_type::Data:
      frame.mText = AnyBytes();
      break;
    case frame_type::Broken:
      frame.mError = { AnyEnum<error_code>(), AnyEnum<executed>(), AnyText(),
                       "x", absl::ZeroDuration() };
      [[fallthrough]];
    case frame_type::End:
      frame.mUsage = { std::abs(AnyInt() / 2), std::abs(AnyInt() / 2) };
      break;
  }
  return frame;
}

BOOST_AUTO_TEST_CASE(frames_round_trip)
{
  BOOST_TEST(rc::check("decode(encode(frame)) == frame", [] {
    const run_frame sent = AnyFrame();
    const std::string line = EncodeFrame(sent);
    // Frames are separated by line feeds.
    RC_ASSERT(line.find('\n') == std::string::npos);
    const auto received = DecodeFrame(line);
    const auto& [a, b, c, d, e, f, g, h] = GetValueOrFail(received);
    RC_ASSERT(a == sent.mNumber && b == sent.mType && c == sent.mRequest &&
              d == sent.mStatus && e == sent.mContentType && f == sent.mText);
    RC_ASSERT(IsSame(g, sent.mUsage));
    RC_ASSERT(
      h.mCode == sent.mError.mCode && h.mExecuted == sent.mError.mExecuted &&
      h.mField == sent.mError.mField && h.mDetail == sent.mError.mDetail);
  }));
}

BOOST_AUTO_TEST_CASE(malformed_frames_are_rejected)
{
  for (const char* line :
       { "", "[]", "{}", R"({"n":1,"type":"tail"})", R"({"n":1,"type":"data"})",
         R"({"n":1,"type":"data","text":5})",
         R"({"n":-1,"type":"data","text":""})",
         R"({"n":1,"type":"data","text_base64":"?"})",
         R"({"n":1,"type":"data","text":"","text_base64":""})",
         R"({"n":1,"type":"end","prompt_tokens":-1,"completion_tokens":0})",
         R"({"n":1,"type":"broken","prompt_tokens":0,"completion_tokens":0})",
         R"({"n":1,"type":"end","prompt_tokens":1})" }) {
    BOOST_TEST(!IsOk(DecodeFrame(line)), line);
  }
}

// Agents and routers of other versions decode this encoding, so it must not
// change.
BOOST_AUTO_TEST_CASE(frames_have_a_stable_encoding)
{
  run_frame frame;
  frame.mNumber = 2;
  frame.mText = "data: x\n\n";
  BOOST_TEST(EncodeFrame(frame) ==
             R"({"n":2,"text":"data: x\n\n","type":"data"})");
  frame.mText = "\xff";
  BOOST_TEST(EncodeFrame(frame) ==
             R"({"n":2,"text_base64":"/w==","type":"data"})");
  frame.mType = frame_type::End;
  frame.mUsage = { 3, 4 };
  BOOST_TEST(EncodeFrame(frame) ==
             R"({"completion_tokens":4,"n":2,"prompt_tokens":3,"type":"end"})");
}

} // namespace
} // namespace foxtailquay
