// Hashing and comparison of the secret keys that callers, operators and peers
// present, and random identifiers. Safe on any thread.

#ifndef FOXTAILQUAY_WIRE_KEY_CHECK_H
#define FOXTAILQUAY_WIRE_KEY_CHECK_H

#include <string>
#include <string_view>

namespace foxtailquay {

// Returns the SHA-256 digest in lower-case hexadecimal.
std::string ComputeSha256Hex(std::string_view aText);

// Returns whether the keys are equal. The time taken does not depend on where
// they differ, so that a key cannot be guessed byte by byte.
bool IsSameKey(std::string_view aPresented, std::string_view aExpected);

// Returns aBytes cryptographically random bytes in hexadecimal, for
// identifiers and nonces.
std::string MakeRandomHex(std::size_t aBytes);

} // namespace foxtailquay

#endif
