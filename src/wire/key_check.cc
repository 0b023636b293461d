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

digest ComputeSha256(std::string_view aText)
{
  digest bytes{};
  EVP_Digest(aText.data(), aText.size(), bytes.data(), nullptr, EVP_sha256(),
             nullptr);
  return bytes;
}

std::string ToHex(const unsigned char* aBytes, std::size_t aSize)
{
  return absl::BytesToHexString(
    absl::string_view(reinterpret_cast<const char*>(aBytes), aSize));
}

} // namespace

std::string ComputeSha256Hex(std::string_view aText)
{
  const digest bytes = ComputeSha256(aText);
  return ToHex(bytes.data(), bytes.size());
}

bool IsSameKey(std::string_view aPresented, std::string_view aExpected)
{
  // All digests have the same size, so the time of the comparison does not
  // depend on the lengths of the keys.
  const digest presented = ComputeSha256(aPresented);
  const digest expected = ComputeSha256(aExpected);
  return CRYPTO_memcmp(presented.data(), expected.data(), presented.size()) ==
         0;
}

std::string MakeRandomHex(std::size_t aBytes)
{
  std::vector<unsigned char> bytes(aBytes);
  RAND_bytes(bytes.data(), static_cast<int>(aBytes));
  return ToHex(bytes.data(), bytes.size());
}

} // namespace foxtailquay
