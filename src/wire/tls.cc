#include "wire/tls.h"

#include "absl/strings/str_cat.h"

namespace foxtailquay {

namespace {

error MakeTlsSettingError(const char* aField, const std::string& aFile,
                          const char* aDetail)
{
  return error{ error_code::InvalidSetting, executed::No, aField,
                absl::StrCat("\"", aFile, "\" ", aDetail),
                absl::ZeroDuration() };
}

} // namespace

result<tls_context_ptr> MakeTlsContext(const std::string& aCertFile,
                                       const std::string& aKeyFile)
{
  tls_context_ptr context(SSL_CTX_new(TLS_server_method()));
  if (!context) {
    return MakeTlsSettingError("--tls_cert_file", aCertFile,
                               "cannot be used: no TLS context");
  }
  SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
  // Allows a write to be retried from another buffer with the same bytes, and
  // to send fewer bytes than given.
  SSL_CTX_set_mode(context.get(), SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER |
                                    SSL_MODE_ENABLE_PARTIAL_WRITE);
  if (SSL_CTX_use_certificate_chain_file(context.get(), aCertFile.c_str()) !=
      1) {
    return MakeTlsSettingError("--tls_cert_file", aCertFile,
                               "is not a readable PEM certificate chain");
  }
  if (SSL_CTX_use_PrivateKey_file(context.get(), aKeyFile.c_str(),
                                  SSL_FILETYPE_PEM) != 1 ||
      SSL_CTX_check_private_key(context.get()) != 1) {
    return MakeTlsSettingError(
      "--tls_key_file", aKeyFile,
      "is not the readable PEM key of the certificate");
  }
  return context;
}

} // namespace foxtailquay
