// Text forms of process, share and request ids.

#include "foxtailquay/types.h"

#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace foxtailquay {

std::string ToString(const process_id& aProcess)
{
  return absl::StrCat(aProcess.mMember.mValue, "/", aProcess.mIncarnation);
}

std::string ToString(const share_id& aShare)
{
  return absl::StrCat(aShare.mBudget.mValue, "/", ToString(aShare.mHolder));
}

std::string ToString(const request_id& aRequest)
{
  return absl::StrCat(ToString(aRequest.mShare), "/", aRequest.mNumber);
}

result<request_id> ParseRequestId(std::string_view aText)
{
  const std::vector<std::string> parts =
    absl::StrSplit(absl::string_view(aText.data(), aText.size()), '/');
  request_id id;
  if (parts.size() != 4 || parts[0].empty() || parts[1].empty() ||
      !absl::SimpleAtoi(parts[2], &id.mShare.mHolder.mIncarnation) ||
      !absl::SimpleAtoi(parts[3], &id.mNumber)) {
    return error{ error_code::ProtocolViolation, executed::No, "request_id",
                  absl::StrCat("\"", std::string(aText),
                               "\" is not budget/router/incarnation/number"),
                  absl::ZeroDuration() };
  }
  id.mShare.mBudget.mValue = parts[0];
  id.mShare.mHolder.mMember.mValue = parts[1];
  return id;
}

} // namespace foxtailquay
