#include "wire/key_check.h"

#include <array>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include "absl/strings/escaping.h"

namespace foxtailquay {

namespace {

using digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

digest Sha256(std::string_view aText)
{
  digest bytes{};
  EVP_Digest(aText.data(), aText.size(), bytes.data(), nullptr, EVP_sha256(),
             nullptr);
  return bytes;
}

std::string Hex(const unsigned char* aBytes, std::size_t aSize)
{
  return absl::BytesToHexString(
    absl::string_view(reinterpret_cast<const char*>(aBytes), aSize));
}

} // namespace

std::string Sha256Hex(std::string_view aText)
{
  const digest bytes = Sha256(aText);
  return Hex(bytes.data(), bytes.size());
}

bool SameKey(std::string_view aShown, std::string_view aExpected)
{
  // Digests have one size, so not even the length shows in the time taken.
  const digest shown = Sha256(aShown);
  const digest expected = Sha256(aExpected);
  return CRYPTO_memcmp(shown.data(), expected.data(), shown.size()) == 0;
}

std::string MakeRandomHex(std::size_t aBytes)
{
  std::vector<unsigned char> bytes(aBytes);
  RAND_bytes(bytes.data(), static_cast<int>(aBytes));
  return Hex(bytes.data(), bytes.size());
}

} // namespace foxtailquay
