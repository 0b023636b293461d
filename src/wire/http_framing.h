// Checks of a request's framing: where its body ends.

#ifndef FOXTAILQUAY_WIRE_HTTP_FRAMING_H
#define FOXTAILQUAY_WIRE_HTTP_FRAMING_H

#include <cstddef>
#include <string>

#include "foxtailquay/result.h"
#include "httplib.h"

namespace foxtailquay {

// True if the headers announce a body.
bool HasBody(const httplib::Request& aRequest);

// An InvalidRequest error for a request that cannot be read.
error BadFraming(std::string aDetail);

// Rejects requests whose end could be understood in two ways: what follows
// them on the connection may be taken for another caller's request. Errors:
// InvalidRequest, BodyTooLarge.
result<success> CheckFraming(const httplib::Request& aRequest,
                             std::size_t aMaxBody);

} // namespace foxtailquay

#endif
