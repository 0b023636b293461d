// JSON form of grant records, in the store and in messages between gateways.
//
// Pure functions, safe on any thread with distinct objects.

#ifndef FOXTAILQUAY_WIRE_GRANT_CODEC_H
#define FOXTAILQUAY_WIRE_GRANT_CODEC_H

#include "foxtailquay/grant.h"
#include "json/json.h"

namespace foxtailquay {

Json::Value EncodeGrantRecord(const grant_record& aRecord);

// Returns the record in aValue. Missing and malformed fields are zero.
grant_record DecodeGrantRecord(const Json::Value& aValue);

} // namespace foxtailquay

#endif
