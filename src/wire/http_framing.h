// Checks that the end of a request's body is unambiguous.
//
// Pure functions; safe on any thread.

#ifndef FOXTAILQUAY_WIRE_HTTP_FRAMING_H
#define FOXTAILQUAY_WIRE_HTTP_FRAMING_H

#include <cstddef>
#include <string>

#include "foxtailquay/result.h"
#include "httplib.h"

namespace foxtailquay {

// Returns whether the headers announce a body.
bool HasBody(const httplib::Request& aRequest);

// Returns an InvalidRequest error for a request that cannot be read.
error MakeFramingError(std::string aDetail);

// Rejects a request whose end two HTTP implementations could place
// differently, because the bytes after it could be executed as a request of
// another caller (request smuggling). Errors: InvalidRequest if the headers
// are ambiguous or malformed, BodyTooLarge if the announced length exceeds
// aMaxBody bytes.
result<success> CheckFraming(const httplib::Request& aRequest,
                             std::size_t aMaxBody);

} // namespace foxtailquay

#endif
