// Reads the request that "explain" asks about from the flags.
//
// Not safe for concurrent calls, since gflags are global.

#ifndef FOXTAILQUAY_CLI_EXPLAIN_QUERY_H
#define FOXTAILQUAY_CLI_EXPLAIN_QUERY_H

#include "cli/exit_code.h"
#include "foxtailquay/gateway_events.h"

namespace foxtailquay {

// Returns the request that the flags describe, and reads the file with the API
// key. Errors: Usage with the name of the flag.
cli_result<explain_query> ReadExplainQuery();

} // namespace foxtailquay

#endif
