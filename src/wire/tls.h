// Server-side TLS by OpenSSL for the callers' port.

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

// Loads a PEM certificate chain and its key; TLS 1.2 or newer. Errors:
// InvalidSetting with the setting at fault.
result<tls_context_ptr> LoadTls(const std::string& aCertFile,
                                const std::string& aKeyFile);

} // namespace foxtailquay

#endif
