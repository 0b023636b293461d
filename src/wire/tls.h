// Server-side TLS with OpenSSL, for the port that serves callers.

#ifndef FOXTAILQUAY_WIRE_TLS_H
#define FOXTAILQUAY_WIRE_TLS_H

#include <memory>
#include <string>

#include <openssl/ssl.h>

#include "foxtailquay/result.h"

namespace foxtailquay {

struct tls_deleter
{
  void operator()(SSL_CTX* aContext) const { SSL_CTX_free(aContext); }
  void operator()(SSL* aSession) const { SSL_free(aSession); }
};
using tls_context_ptr = std::unique_ptr<SSL_CTX, tls_deleter>;
using tls_session_ptr = std::unique_ptr<SSL, tls_deleter>;

// Returns a server context, TLS 1.2 or newer, with a PEM certificate chain and
// its private key. Errors: InvalidSetting with the flag whose file cannot be
// used.
result<tls_context_ptr> MakeTlsContext(const std::string& aCertFile,
                                       const std::string& aKeyFile);

} // namespace foxtailquay

#endif
