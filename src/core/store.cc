#include "foxtailquay/store.h"

#include "absl/strings/str_cat.h"

namespace foxtailquay {

std::string ToString(const store_key& aKey)
{
  const std::string area(ToName(aKey.mArea));
  const bool sharded =
    aKey.mArea == store_area::Accounts || aKey.mArea == store_area::Claims;
  return sharded ? absl::StrCat(area, "/", aKey.mShard) : area;
}

} // namespace foxtailquay
