// Keys that callers, operators and peers show.

#ifndef FOXTAILQUAY_WIRE_KEY_CHECK_H
#define FOXTAILQUAY_WIRE_KEY_CHECK_H

#include <string>
#include <string_view>

namespace foxtailquay {

// Lower-case hexadecimal SHA-256.
std::string Sha256Hex(std::string_view aText);

// True if the texts are equal; takes the same time wherever they differ.
bool SameKey(std::string_view aShown, std::string_view aExpected);

// aBytes random bytes in hexadecimal, for identifiers and nonces.
std::string MakeRandomHex(std::size_t aBytes);

} // namespace foxtailquay

#endif
